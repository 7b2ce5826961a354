import { isAssignPending } from "./is-assign-pending.js";
import type { OwnershipHealth } from "./ownership-health.js";
import type { OwnershipState } from "./ownership-state.js";

/** Health of the ownership slice at a monotonic time. */
export const selectOwnershipHealth = (state: OwnershipState, atMs: number): OwnershipHealth => ({
    synchronized: state.log.mode === "following" && state.log.lastReadAtMs !== undefined,
    caughtUp: state.log.caughtUp,
    logAvailable: state.log.available,
    lastReadAgeMs: state.log.lastReadAtMs === undefined ? undefined : atMs - state.log.lastReadAtMs,
    sharesOwned: state.owned.size,
    sharesGuarded: state.guarded.size,
    sharesWithoutTerm: state.fold.termsByShare.filter(terms => terms.length === 0).length,
    handOversPending: [...state.owned.keys()].filter(share => isAssignPending(state, share)).length,
    malformedRecords: state.fold.malformedRecords,
    invalidEntries: state.fold.invalidEntries,
});
