import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";

/**
 * Whether this daemon has recently read up to the end of the log. Avoids changes of terms that would probably be
 * invalid; safety does not depend on it.
 */
export const isLogUsable = (state: OwnershipState, atMs: number): boolean =>
    state.log.mode === "following"
    && state.log.available
    && state.log.caughtUp
    && atMs - (state.log.lastReadAtMs ?? -Infinity) < OWNERSHIP_TIMING.logStaleAfterMs;
