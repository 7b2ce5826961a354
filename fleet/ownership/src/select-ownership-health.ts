import type { OwnershipHealth } from "./ownership-health.js";
import type { OwnershipState } from "./ownership-state.js";

/** Health of the ownership slice at a monotonic time. */
export const selectOwnershipHealth = (state: OwnershipState, atMs: number): OwnershipHealth => ({
    synchronized: false,
    caughtUp: false,
    logAvailable: false,
    lastReadAgeMs: atMs < 0 ? 0 : undefined,
    sharesOwned: state.ownBoundsMs.size,
    sharesGuarded: 0,
    sharesWithoutTerm: 0,
    handOversPending: 0,
    malformedRecords: 0,
    invalidEntries: 0,
});
