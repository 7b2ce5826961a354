import type { ViewState } from "./view-state.js";

/** The view of a daemon that knows nothing yet. */
export const createViewState = (opts: { readonly readerId: string; readonly firstReadAtMs?: number; }): ViewState => {
    const reading = {
        nextOffset: undefined,
        confirmedAtMs: -Infinity,
        confirmation: undefined,
        heardReads: new Map<string, number>(),
        isReading: false,
        startedAtMs: -Infinity,
        failedAtMs: -Infinity,
    };
    return {
        readerId: opts.readerId,
        firstReadAtMs: opts.firstReadAtMs ?? -Infinity,
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
