import type { ViewState } from "./view-state.js";
import type { ViewSummary } from "./view-summary.js";

/** Summary of the view for a datagram. Changes before `sinceOffset` were already announced and are left out. */
export const selectViewSummary = (
    state: ViewState,
    opts: { readonly atMs: number; readonly sinceOffset: number; },
): ViewSummary => {
    const changes = state.recentChanges.filter(change => change.offset >= opts.sinceOffset);
    return {
        nextOffset: state.registrationReading.nextOffset,
        baseOffset: Math.max(state.recentBaseOffset, opts.sinceOffset),
        changes,
        ageMs: opts.atMs - state.registrationReading.confirmedAtMs,
        confirmation: state.registrationReading.confirmation,
        configurationVersion: state.configuration?.configuration.version ?? 0,
        configurationAgeMs: opts.atMs - state.configurationReading.confirmedAtMs,
        configurationConfirmation: state.configurationReading.confirmation,
    };
};
