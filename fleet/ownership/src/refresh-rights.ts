import type { GuardedShare } from "./guarded-share.js";
import type { OwnedShare } from "./owned-share.js";
import type { OwnershipState } from "./ownership-state.js";
import { refreshBounds } from "./refresh-bounds.js";
import { sameDaemon } from "./same-daemon.js";

/** Brings this daemon's own records of its shares, and what the selectors return, in line with a changed fold. */
export const refreshRights = (state: OwnershipState, atMs: number): OwnershipState => {
    const owned = new Map<number, OwnedShare>();
    const guarded = new Map<number, GuardedShare>();
    let hasNewTerm = false;
    for (const [share, terms] of state.fold.termsByShare.entries()) {
        const current = terms.at(-1);
        if (current === undefined) {
            continue;
        }
        const { term } = current;
        if (sameDaemon(current.owner, state.self.daemon)) {
            const known = state.owned.get(share);
            hasNewTerm ||= known?.term !== term;
            const ownedShare = known?.term === term ? known : {
                term,
                promisedBoundMs: current.fromMs,
                relinquishedAtMs: Infinity,
                lastPromiseAtMs: atMs,
                otherWinnerSinceMs: undefined,
            };
            owned.set(share, ownedShare);
        }
        else if (sameDaemon(current.guardian, state.self.daemon)) {
            const known = state.guarded.get(share);
            guarded.set(
                share,
                known?.term === term
                    ? known
                    : { term, promisedBoundMs: current.fromMs, isFenced: false, ownerSeenAtMs: atMs },
            );
        }
    }
    return refreshBounds({
        ...state,
        // A new term starts without usable key times, so its bound is raised at the next tick.
        nextExtendAtMs: hasNewTerm ? atMs : state.nextExtendAtMs,
        nextPromiseAtMs: hasNewTerm ? atMs : state.nextPromiseAtMs,
        owned,
        guarded,
        terms: state.fold.termsByShare.flat(),
    });
};
