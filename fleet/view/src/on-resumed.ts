import type { ViewState } from "./view-state.js";

// A response can be on its way over several suspensions. No call takes longer than this.
const MAX_CALL_MS = 5_000;

const selectRecentMs = ({ lastResume }: ViewState, atMs: number): number =>
    lastResume !== undefined && atMs - lastResume.atMs <= MAX_CALL_MS ? lastResume.uncountedMs : 0;

/** Makes the view older by a time that the clock did not count, so that it is not taken for current. */
export const onResumed = (
    state: ViewState,
    event: { readonly atMs: number; readonly uncountedMs: number; },
): ViewState => {
    const { atMs, uncountedMs } = event;
    const { registrationReading, configurationReading } = state;
    return {
        ...state,
        lastResume: { atMs, uncountedMs: uncountedMs + selectRecentMs(state, atMs) },
        registrationReading: {
            ...registrationReading,
            confirmedAtMs: registrationReading.confirmedAtMs - uncountedMs,
        },
        configurationReading: {
            ...configurationReading,
            confirmedAtMs: configurationReading.confirmedAtMs - uncountedMs,
        },
    };
};
