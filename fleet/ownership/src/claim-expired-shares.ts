import { appendAssign } from "./append-assign.js";
import { chooseGuardian } from "./choose-guardian.js";
import { createAssignEntry } from "./create-assign-entry.js";
import { eligibleMembers } from "./eligible-members.js";
import { isAssignPending } from "./is-assign-pending.js";
import { isLogUsable } from "./is-log-usable.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { rendezvousOrder } from "./rendezvous-order.js";
import type { StepContext } from "./step-context.js";

/**
 * Starts a new term of shares whose owner and guardian are both gone, once the cap of the current term has passed and
 * neither may grant any more keys.
 */
export const claimExpiredShares = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    const { atMs, wallMs } = context;
    if (state.isStopping || !isLogUsable(state, atMs)) {
        return { state, effects: [] };
    }
    const eligible = eligibleMembers(state, atMs);
    const entries = state.fold.termsByShare.flatMap((terms, share) => {
        const current = terms.at(-1);
        const expiredForMs = current === undefined ? -1 : wallMs - current.capMs - OWNERSHIP_TIMING.expiredAfterMs;
        if (current === undefined || expiredForMs < 0 || state.owned.has(share) || isAssignPending(state, share)) {
            return [];
        }
        const rank = rendezvousOrder(share, eligible)
            .findIndex(member => member.daemon.vmId === state.self.daemon.vmId);
        if (rank < 0 || expiredForMs < rank * OWNERSHIP_TIMING.expiredRankDelayMs) {
            return [];
        }
        const owner = state.self;
        const guardian = chooseGuardian(state, { share, owner, atMs });
        const fromMs = current.capMs;
        return [createAssignEntry(state, { share, term: current.term + 1, owner, guardian, fromMs, context })];
    });
    return appendAssign(state, { basis: "expired", entries, reason: "the cap of the term has passed", context });
};
