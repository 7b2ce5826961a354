import { currentTerm } from "./current-term.js";
import type { OwnershipState } from "./ownership-state.js";
import { usableBound } from "./usable-bound.js";

/** Recomputes the usable bounds. Keeps the identity of the map when no bound has changed. */
export const refreshBounds = (state: OwnershipState): OwnershipState => {
    const ownBoundsMs = new Map<number, number>();
    let isSame = state.owned.size === state.ownBoundsMs.size;
    for (const [share, ownedShare] of state.owned) {
        const current = currentTerm(state, share);
        if (current !== undefined) {
            const boundMs = usableBound(current, ownedShare);
            ownBoundsMs.set(share, boundMs);
            isSame &&= state.ownBoundsMs.get(share) === boundMs;
        }
    }
    return isSame ? state : { ...state, ownBoundsMs };
};
