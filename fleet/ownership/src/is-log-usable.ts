import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";

/** Whether this daemon knows the end of the log, so that changes of terms make sense. It is no safety condition. */
export const isLogUsable = (state: OwnershipState, atMs: number): boolean =>
    state.log.mode === "following"
    && state.log.available
    && state.log.caughtUp
    && atMs - (state.log.lastReadAtMs ?? -Infinity) < ownershipTiming.logStaleAfterMs;
