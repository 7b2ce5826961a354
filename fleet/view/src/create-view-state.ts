import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

interface CreateViewStateOptions {
    readonly readerId: string;
    readonly firstReadAtMs?: number;
    readonly heartbeatMs?: number;
}

/** Creates an empty view. */
export const createViewState = (opts: CreateViewStateOptions): ViewState => {
    const reading = {
        next: undefined,
        confirmedAtMs: -Infinity,
        confirmation: undefined,
        latestReadNumbers: new Map<string, number>(),
        isReading: false,
        startedAtMs: -Infinity,
        failedAtMs: -Infinity,
    };
    return {
        readerId: opts.readerId,
        heartbeatMs: opts.heartbeatMs ?? VIEW_LIMITS.defaultHeartbeatMs,
        firstReadAtMs: opts.firstReadAtMs ?? -Infinity,
        storeEra: undefined,
        isRestoreSeen: false,
        listedEra: undefined,
        eraStartOffset: 0,
        isListUnchecked: false,
        servers: new Map(),
        withheld: new Map(),
        departed: new Map(),
        configuration: undefined,
        evacuations: new Map(),
        registrationReading: reading,
        configurationReading: reading,
        recentChanges: [],
        recentBase: { era: 0, offset: 0 },
        outageEndedAtMs: -Infinity,
        lastResume: undefined,
        snapshotRequestedAtMs: -Infinity,
        configurationRequestedAtMs: -Infinity,
    };
};
