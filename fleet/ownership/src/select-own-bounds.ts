import type { OwnershipState } from "./ownership-state.js";

/**
 * Selects the usable bound of each share whose current term this daemon owns. Returns the same map until a bound
 * changes. Only meaningful together with `selectTerms` of the same state.
 */
export const selectOwnBounds = (state: OwnershipState): ReadonlyMap<number, number> => state.ownBoundsMs;
