import type { GuardedShare } from "./guarded-share.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { OwnedShare } from "./owned-share.js";
import type { OwnershipState } from "./ownership-state.js";
import { refreshBounds } from "./refresh-bounds.js";

/** Updates the owned and guarded shares, and the values that the selectors return, after the fold has changed. */
export const refreshShares = (state: OwnershipState, atMs: number): OwnershipState => {
    const owned = new Map<number, OwnedShare>();
    const guarded = new Map<number, GuardedShare>();
    let hasNewTerm = false;
    for (const [share, terms] of state.fold.termsByShare.entries()) {
        const current = terms.at(-1);
        if (current === undefined) {
            continue;
        }
        const { term } = current;
        if (isSameDaemon(current.owner, state.self.daemon)) {
            const previous = state.owned.get(share);
            hasNewTerm ||= previous?.term !== term;
            const ownedShare = previous?.term === term ? previous : {
                term,
                promisedBoundMs: current.fromMs,
                relinquishedAtMs: Infinity,
                lastPromiseAtMs: atMs,
                otherWinnerSinceMs: undefined,
            };
            owned.set(share, ownedShare);
        }
        else if (isSameDaemon(current.guardian, state.self.daemon)) {
            const previous = state.guarded.get(share);
            guarded.set(
                share,
                previous?.term === term
                    ? previous
                    : { term, promisedBoundMs: current.fromMs, isFenced: false, ownerSeenAtMs: atMs },
            );
        }
    }
    return refreshBounds({
        ...state,
        // A new term starts without usable key times, so its bound is extended at the next tick.
        nextExtendAtMs: hasNewTerm ? atMs : state.nextExtendAtMs,
        nextPromiseAtMs: hasNewTerm ? atMs : state.nextPromiseAtMs,
        owned,
        guarded,
        terms: state.fold.termsByShare.flat(),
    });
};
