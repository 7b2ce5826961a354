import type { OwnershipStateOptions } from "./ownership-state-options.js";
import type { OwnershipState } from "./ownership-state.js";

/** State before the first read of the log: this daemon has no rights. */
export const createOwnershipState = (opts: OwnershipStateOptions): OwnershipState => ({
    self: opts.self,
    logRetentionMs: opts.logRetentionMs,
    nextOffset: 0,
    terms: [],
    ownBoundsMs: new Map(),
});
