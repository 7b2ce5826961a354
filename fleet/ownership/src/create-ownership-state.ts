import { emptyOwnershipFold } from "./empty-ownership-fold.js";
import type { OwnershipStateOptions } from "./ownership-state-options.js";
import type { OwnershipState } from "./ownership-state.js";

/** Creates the state before the first read of the log, in which this daemon owns and guards no shares. */
export const createOwnershipState = (opts: OwnershipStateOptions): OwnershipState => ({
    self: opts.self,
    logRetentionMs: opts.logRetentionMs,
    members: [opts.self],
    membersKnown: false,
    membersChangedAtMs: 0,
    addresses: new Map(),
    configurationVersion: 0,
    log: {
        era: 0,
        nextOffset: 0,
        mode: "following",
        firstOffset: 0,
        available: false,
        caughtUp: false,
        lastReadAtMs: undefined,
        restartableAtOffset: undefined,
        restartNotBeforeMs: undefined,
        caughtUpSinceMs: undefined,
        snapshotSeenAtMs: 0,
    },
    fold: emptyOwnershipFold,
    owned: new Map(),
    guarded: new Map(),
    pendingAssigns: [],
    suspectedUntilMs: new Map(),
    recordCount: 0,
    nextExtendAtMs: 0,
    nextPromiseAtMs: 0,
    lastTick: undefined,
    isStopping: false,
    terms: [],
    ownBoundsMs: new Map(),
});
