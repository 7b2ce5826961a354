import type { OwnershipState } from "./ownership-state.js";

/**
 * Usable bound of each share that this daemon owns in its current term. The same map until a bound changes. Only
 * meaningful together with `selectTerms` of the same state.
 */
export const selectOwnBounds = (state: OwnershipState): ReadonlyMap<number, number> => state.ownBoundsMs;
