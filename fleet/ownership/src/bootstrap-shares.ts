import { appendAssign } from "./append-assign.js";
import { assignEntry } from "./assign-entry.js";
import { chooseGuardian } from "./choose-guardian.js";
import { eligibleMembers } from "./eligible-members.js";
import { isAssignPending } from "./is-assign-pending.js";
import { isLogUsable } from "./is-log-usable.js";
import { memberRank } from "./member-rank.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { rendezvousOrder } from "./rendezvous-order.js";

/**
 * Gives the first term of shares that never had one, and restarts a stream of which all records are lost. A
 * restart needs that all caps of the lost records have passed; it is the only rule that relies on clocks.
 */
export const bootstrapShares = (state: OwnershipState, moment: OwnershipMoment): OwnershipTransition => {
    const { atMs, wallMs } = moment;
    const { emptyAtOffset, caughtUpSinceMs, available } = state.log;
    const isRestart = emptyAtOffset !== undefined && available;
    const delayMs = ownershipTiming.bootstrapAfterMs + memberRank(state) * ownershipTiming.bootstrapRankDelayMs;
    const isDue = caughtUpSinceMs !== undefined && atMs - caughtUpSinceMs >= delayMs && state.membersKnown;
    if (state.isStopping || !isDue || !(isRestart || isLogUsable(state, atMs))) {
        return { state, effects: [] };
    }
    const isPending = state.pendingAssigns.some(({ record }) => record.restartAtOffset === emptyAtOffset);
    if (isRestart && isPending) {
        return { state, effects: [] };
    }
    const fromMs = wallMs + (isRestart ? ownershipTiming.restartMarginMs : -ownershipTiming.bootstrapPastMs);
    const eligible = eligibleMembers(state, atMs);
    const entries = state.fold.termsByShare.flatMap((terms, share) => {
        if (!isRestart && (terms.length > 0 || isAssignPending(state, share))) {
            return [];
        }
        const owner = rendezvousOrder(share, eligible)[0] ?? state.self;
        const guardian = chooseGuardian(state, { share, owner, atMs });
        const term = isRestart ? emptyAtOffset + 1 : 1;
        return [assignEntry(state, { share, term, owner, guardian, fromMs, moment })];
    });
    const reason = isRestart ? "the stream was truncated and is empty" : "the share had no term";
    return appendAssign(state, { basis: "bootstrap", entries, restartAtOffset: emptyAtOffset, reason, moment });
};
