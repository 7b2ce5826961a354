import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

interface CreateViewStateOptions {
    readonly readerId: string;
    readonly firstReadAtMs?: number;
    readonly heartbeatMs?: number;
}

/** The view of a daemon that knows nothing yet. */
export const createViewState = (opts: CreateViewStateOptions): ViewState => {
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
        heartbeatMs: opts.heartbeatMs ?? VIEW_LIMITS.defaultHeartbeatMs,
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
