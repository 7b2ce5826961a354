import { appendAssign } from "./append-assign.js";
import { chooseGuardian } from "./choose-guardian.js";
import { createAssignEntry } from "./create-assign-entry.js";
import { currentTerm } from "./current-term.js";
import { daemonKey } from "./daemon-key.js";
import { eligibleMembers } from "./eligible-members.js";
import { isLogUsable } from "./is-log-usable.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { rendezvousOrder } from "./rendezvous-order.js";
import type { StepContext } from "./step-context.js";

/**
 * Takes over the guarded shares whose owner is silent. The guardian fences itself when it attempts this, as a later
 * promise could exceed the start of the new term.
 */
export const takeOverShares = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    const { atMs } = context;
    const silent = [...state.guarded].filter(([, guardedShare]) =>
        !guardedShare.isFenced && atMs - guardedShare.ownerSeenAtMs >= OWNERSHIP_TIMING.takeOverAfterMs
    );
    if (silent.length === 0 || !isLogUsable(state, atMs)) {
        return { state, effects: [] };
    }
    const guarded = new Map(state.guarded);
    const suspectedUntilMs = new Map(state.suspectedUntilMs);
    for (const [share] of silent) {
        const owner = currentTerm(state, share)?.owner;
        if (owner !== undefined) {
            suspectedUntilMs.set(daemonKey(owner), atMs + OWNERSHIP_TIMING.suspectForMs);
        }
    }
    const next = { ...state, guarded, suspectedUntilMs };
    const entries = silent.flatMap(([share, guardedShare]) => {
        const current = currentTerm(state, share);
        const others = eligibleMembers(next, atMs).filter(member => member.daemon.vmId !== state.self.daemon.vmId);
        const owner = state.isStopping ? rendezvousOrder(share, others)[0] : state.self;
        if (current === undefined || owner === undefined) {
            return [];
        }
        guarded.set(share, { ...guardedShare, isFenced: true });
        const guardian = chooseGuardian(next, { share, owner, atMs });
        const fromMs = guardedShare.promisedBoundMs;
        return [createAssignEntry(next, { share, term: current.term + 1, owner, guardian, fromMs, context })];
    });
    return appendAssign(next, { basis: "guardian", entries, reason: "the owner is silent", context });
};
