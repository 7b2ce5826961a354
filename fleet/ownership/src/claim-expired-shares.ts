import { appendAssign } from "./append-assign.js";
import { assignEntry } from "./assign-entry.js";
import { chooseGuardian } from "./choose-guardian.js";
import { eligibleMembers } from "./eligible-members.js";
import { isAssignPending } from "./is-assign-pending.js";
import { isLogUsable } from "./is-log-usable.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { rendezvousOrder } from "./rendezvous-order.js";

/** Starts a new term of shares whose owner and guardian are both gone, once all keys that they may grant are over. */
export const claimExpiredShares = (state: OwnershipState, moment: OwnershipMoment): OwnershipTransition => {
    const { atMs, wallMs } = moment;
    if (state.isStopping || !isLogUsable(state, atMs)) {
        return { state, effects: [] };
    }
    const eligible = eligibleMembers(state, atMs);
    const entries = state.fold.termsByShare.flatMap((terms, share) => {
        const current = terms.at(-1);
        const overMs = current === undefined ? -1 : wallMs - current.capMs - ownershipTiming.expiredAfterMs;
        if (current === undefined || overMs < 0 || state.owned.has(share) || isAssignPending(state, share)) {
            return [];
        }
        const rank = rendezvousOrder(share, eligible)
            .findIndex(member => member.daemon.vmId === state.self.daemon.vmId);
        if (rank < 0 || overMs < rank * ownershipTiming.expiredRankDelayMs) {
            return [];
        }
        const owner = state.self;
        const guardian = chooseGuardian(state, { share, owner, atMs });
        const fromMs = current.capMs;
        return [assignEntry(state, { share, term: current.term + 1, owner, guardian, fromMs, moment })];
    });
    return appendAssign(state, { basis: "expired", entries, reason: "the cap of the term has passed", moment });
};
