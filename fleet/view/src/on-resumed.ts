import type { ViewState } from "./view-state.js";

/** Makes the view older by a time that the clock did not count, so that it is not taken for current. */
export const onResumed = (
    state: ViewState,
    event: { readonly atMs: number; readonly uncountedMs: number; },
): ViewState => {
    const { atMs, uncountedMs } = event;
    const { registrationReading, configurationReading } = state;
    return {
        ...state,
        lastResume: { atMs, uncountedMs },
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
