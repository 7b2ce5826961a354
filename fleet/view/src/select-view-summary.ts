import type { ViewState } from "./view-state.js";
import type { ViewSummary } from "./view-summary.js";

/** What this daemon tells its peers about its view. `sinceOffset` leaves out changes that they were told already. */
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
