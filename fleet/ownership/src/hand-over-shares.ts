import { chooseGuardian } from "./choose-guardian.js";
import { eligibleMembers } from "./eligible-members.js";
import { endOwnTerms } from "./end-own-terms.js";
import { isAssignPending } from "./is-assign-pending.js";
import { isLogUsable } from "./is-log-usable.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { rendezvousOrder } from "./rendezvous-order.js";
import type { StepContext } from "./step-context.js";

/** Hands over shares for which rendezvous hashing selects another daemon, without delay if this one is stopping. */
export const handOverShares = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    const { atMs } = context;
    const eligible = eligibleMembers(state, atMs);
    let { owned } = state;
    const successors: { share: number; owner: OwnershipMember; guardian: OwnershipMember | undefined; }[] = [];
    const isUsable = isLogUsable(state, atMs);
    for (const [share, ownedShare] of state.owned) {
        const owner = rendezvousOrder(share, eligible)[0];
        const isOtherWinner = owner !== undefined && owner.daemon.vmId !== state.self.daemon.vmId;
        const sinceMs = isOtherWinner ? ownedShare.otherWinnerSinceMs ?? atMs : undefined;
        if (sinceMs !== ownedShare.otherWinnerSinceMs) {
            owned = new Map([...owned, [share, { ...ownedShare, otherWinnerSinceMs: sinceMs }]]);
        }
        const isDue = sinceMs !== undefined
            && (state.isStopping || atMs - sinceMs >= OWNERSHIP_TIMING.rebalanceAfterMs);
        if (isOtherWinner && isDue && isUsable && !isAssignPending(state, share)) {
            successors.push({ share, owner, guardian: chooseGuardian(state, { share, owner, atMs }) });
        }
    }
    return endOwnTerms({ ...state, owned }, {
        successors,
        reason: "rendezvous hashing selects another owner",
        context,
    });
};
