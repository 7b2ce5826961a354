import type { ViewState } from "./view-state.js";

/** The view of a daemon that knows nothing yet. */
export const createViewState = (): ViewState => {
    const reading = {
        nextOffset: undefined,
        confirmedAtMs: -Infinity,
        isReading: false,
        startedAtMs: -Infinity,
        failedAtMs: -Infinity,
    };
    return {
        servers: new Map(),
        configuration: undefined,
        registrationReading: reading,
        configurationReading: reading,
        recentChanges: [],
        recentBaseOffset: 0,
        outageEndedAtMs: -Infinity,
        fetchedSnapshotAtMs: -Infinity,
        fetchedConfigurationAtMs: -Infinity,
    };
};
