import { chooseGuardian } from "./choose-guardian.js";
import { eligibleMembers } from "./eligible-members.js";
import { endOwnTerms } from "./end-own-terms.js";
import { isAssignPending } from "./is-assign-pending.js";
import { isLogUsable } from "./is-log-usable.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { rendezvousOrder } from "./rendezvous-order.js";

/** Hands over shares for which rendezvous hashing names another daemon, at once when this daemon is stopping. */
export const handOverShares = (state: OwnershipState, moment: OwnershipMoment): OwnershipTransition => {
    const { atMs } = moment;
    const eligible = eligibleMembers(state, atMs);
    let { owned } = state;
    const successors: { share: number; owner: OwnershipMember; guardian: OwnershipMember | undefined; }[] = [];
    const isUsable = isLogUsable(state, atMs);
    for (const [share, known] of state.owned) {
        const owner = rendezvousOrder(share, eligible)[0];
        const isOther = owner !== undefined && owner.daemon.vmId !== state.self.daemon.vmId;
        const sinceMs = isOther ? known.otherWinnerSinceMs ?? atMs : undefined;
        if (sinceMs !== known.otherWinnerSinceMs) {
            owned = new Map([...owned, [share, { ...known, otherWinnerSinceMs: sinceMs }]]);
        }
        const isDue = sinceMs !== undefined
            && (state.isStopping || atMs - sinceMs >= ownershipTiming.rebalanceAfterMs);
        if (isOther && isDue && isUsable && !isAssignPending(state, share)) {
            successors.push({ share, owner, guardian: chooseGuardian(state, { share, owner, atMs }) });
        }
    }
    return endOwnTerms({ ...state, owned }, { successors, reason: "hands over to the rendezvous winner", moment });
};
