import { isAssignPending } from "./is-assign-pending.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { OwnershipHealth } from "./ownership-health.js";
import type { OwnershipState } from "./ownership-state.js";

const ownKeyTimesEnd = (state: OwnershipState): number | undefined => {
    const ends = state.terms.flatMap((term, index) => {
        if (!isSameDaemon(term.owner, state.self.daemon)) {
            return [];
        }
        const next = state.terms[index + 1];
        const endMs = next?.share === term.share ? next.fromMs : state.ownBoundsMs.get(term.share);
        return endMs === undefined ? [] : [endMs];
    });
    return ends.length === 0 ? undefined : Math.max(...ends);
};

/** Selects the health of share ownership at a monotonic time. */
export const selectOwnershipHealth = (state: OwnershipState, atMs: number): OwnershipHealth => ({
    synchronized: state.log.mode === "following" && state.log.lastReadAtMs !== undefined,
    caughtUp: state.log.caughtUp,
    logAvailable: state.log.available,
    lastReadAgeMs: state.log.lastReadAtMs === undefined ? undefined : atMs - state.log.lastReadAtMs,
    sharesOwned: state.owned.size,
    sharesGuarded: state.guarded.size,
    sharesWithoutTerm: state.fold.termsByShare.filter(terms => terms.length === 0).length,
    ownKeyTimesEndMs: ownKeyTimesEnd(state),
    handoversPending: [...state.owned.keys()].filter(share => isAssignPending(state, share)).length,
    malformedRecords: state.fold.malformedRecords,
    invalidEntries: state.fold.invalidEntries,
});
