import { comparePositions } from "./compare-positions.js";
import { listEvacuations } from "./list-evacuations.js";
import { selectLaterPosition } from "./select-later-position.js";
import type { StorePosition } from "./store-position.js";
import type { ViewState } from "./view-state.js";
import type { ViewSummary } from "./view-summary.js";

interface SelectViewSummaryOptions {
    readonly atMs: number;
    /** Changes before this position were already announced. */
    readonly since: StorePosition | undefined;
}

/** Summary of the view for a datagram, with the changes that were not announced yet. */
export const selectViewSummary = (state: ViewState, opts: SelectViewSummaryOptions): ViewSummary => {
    const base = selectLaterPosition(state.recentBase, opts.since);
    const { era } = state.recentBase;
    return {
        next: state.registrationReading.next,
        base,
        changes: state.recentChanges.filter(({ offset }) => comparePositions({ era, offset }, base) >= 0),
        ageMs: opts.atMs - state.registrationReading.confirmedAtMs,
        confirmation: state.registrationReading.confirmation,
        configurationVersion: state.configuration?.configuration.version ?? 0,
        configurationAgeMs: opts.atMs - state.configurationReading.confirmedAtMs,
        configurationConfirmation: state.configurationReading.confirmation,
        ...listEvacuations(state),
    };
};
