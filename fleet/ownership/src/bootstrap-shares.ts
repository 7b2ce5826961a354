import { appendAssign } from "./append-assign.js";
import { chooseGuardian } from "./choose-guardian.js";
import { createAssignEntry } from "./create-assign-entry.js";
import { eligibleMembers } from "./eligible-members.js";
import { isAssignPending } from "./is-assign-pending.js";
import { isLogUsable } from "./is-log-usable.js";
import { memberRank } from "./member-rank.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { rendezvousOrder } from "./rendezvous-order.js";
import type { StepContext } from "./step-context.js";
import { termNumbers } from "./term-numbers.js";

/**
 * Assigns the first term of shares that never had one, and restarts a stream whose records are all lost or that was
 * restored from an older copy. A restart is safe only after all caps of the lost records have passed; it is the only rule whose safety relies on clocks.
 */
export const bootstrapShares = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    const { atMs, wallMs } = context;
    const { era, restartableAtOffset, caughtUpSinceMs, available } = state.log;
    const isRestart = restartableAtOffset !== undefined && available;
    const delayMs = OWNERSHIP_TIMING.bootstrapAfterMs + memberRank(state) * OWNERSHIP_TIMING.bootstrapRankDelayMs;
    const isDue = caughtUpSinceMs !== undefined && atMs - caughtUpSinceMs >= delayMs && state.membersKnown;
    if (state.isStopping || !isDue || !(isRestart || isLogUsable(state, atMs))) {
        return { state, effects: [] };
    }
    const isPending = state.pendingAssigns.some(({ record }) => record.restartAtOffset === restartableAtOffset);
    if (isRestart && isPending) {
        return { state, effects: [] };
    }
    const fromMs = wallMs + (isRestart ? OWNERSHIP_TIMING.restartMarginMs : -OWNERSHIP_TIMING.bootstrapLookbackMs);
    const eligible = eligibleMembers(state, atMs);
    const entries = state.fold.termsByShare.flatMap((terms, share) => {
        if (!isRestart && (terms.length > 0 || isAssignPending(state, share))) {
            return [];
        }
        const owner = rendezvousOrder(share, eligible)[0] ?? state.self;
        const guardian = chooseGuardian(state, { share, owner, atMs });
        const term = isRestart ? termNumbers.ofRestart({ era, offset: restartableAtOffset }) : 1;
        return [createAssignEntry(state, { share, term, owner, guardian, fromMs, context })];
    });
    const reason = isRestart ? "the records of the terms are lost" : "the share had no term";
    return appendAssign(state, { basis: "bootstrap", entries, restartAtOffset: restartableAtOffset, reason, context });
};
