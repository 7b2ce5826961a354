import { appendAssign } from "./append-assign.js";
import { assignEntry } from "./assign-entry.js";
import { chooseGuardian } from "./choose-guardian.js";
import { currentTerm } from "./current-term.js";
import { daemonKey } from "./daemon-key.js";
import { eligibleMembers } from "./eligible-members.js";
import { isLogUsable } from "./is-log-usable.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { rendezvousOrder } from "./rendezvous-order.js";

/**
 * Takes over the guarded shares whose owner is silent. The guardian fences itself with the attempt: a promise
 * after it could exceed the start of the new term.
 */
export const takeOverShares = (state: OwnershipState, moment: OwnershipMoment): OwnershipTransition => {
    const { atMs } = moment;
    const silent = [...state.guarded].filter(([, known]) =>
        !known.isFenced && atMs - known.ownerSeenAtMs >= ownershipTiming.takeOverAfterMs
    );
    if (silent.length === 0 || !isLogUsable(state, atMs)) {
        return { state, effects: [] };
    }
    const guarded = new Map(state.guarded);
    const suspectedUntilMs = new Map(state.suspectedUntilMs);
    for (const [share] of silent) {
        const owner = currentTerm(state, share)?.owner;
        if (owner !== undefined) {
            suspectedUntilMs.set(daemonKey(owner), atMs + ownershipTiming.suspectForMs);
        }
    }
    const next = { ...state, guarded, suspectedUntilMs };
    const entries = silent.flatMap(([share, known]) => {
        const current = currentTerm(state, share);
        const others = eligibleMembers(next, atMs).filter(member => member.daemon.vmId !== state.self.daemon.vmId);
        const owner = state.isStopping ? rendezvousOrder(share, others)[0] : state.self;
        if (current === undefined || owner === undefined) {
            return [];
        }
        guarded.set(share, { ...known, isFenced: true });
        const guardian = chooseGuardian(next, { share, owner, atMs });
        const fromMs = known.promisedBoundMs;
        return [assignEntry(next, { share, term: current.term + 1, owner, guardian, fromMs, moment })];
    });
    return appendAssign(next, { basis: "guardian", entries, reason: "the owner is silent", moment });
};
