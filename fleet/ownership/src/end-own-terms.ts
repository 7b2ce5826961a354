import { appendAssign } from "./append-assign.js";
import { createAssignEntry } from "./create-assign-entry.js";
import { currentTerm } from "./current-term.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipState } from "./ownership-state.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { StepContext } from "./step-context.js";
import { usableBound } from "./usable-bound.js";

/**
 * Ends terms of this daemon at their current usable bounds. From then on it uses no promise above these bounds, as the
 * record may reach the log at any time, even when the answer to the append is lost.
 */
export const endOwnTerms = (
    state: OwnershipState,
    opts: {
        readonly successors: readonly {
            readonly share: number;
            readonly owner: OwnershipMember;
            readonly guardian: OwnershipMember | undefined;
        }[];
        readonly reason: string;
        readonly context: StepContext;
    },
): OwnershipTransition => {
    const owned = new Map(state.owned);
    const entries = opts.successors.flatMap(successor => {
        const { share } = successor;
        const current = currentTerm(state, share);
        const ownedShare = owned.get(share);
        if (current === undefined || ownedShare === undefined) {
            return [];
        }
        const fromMs = usableBound(current, ownedShare);
        owned.set(share, { ...ownedShare, relinquishedAtMs: Math.min(ownedShare.relinquishedAtMs, fromMs) });
        return [createAssignEntry(state, { ...successor, term: current.term + 1, fromMs, context: opts.context })];
    });
    const { reason, context } = opts;
    return appendAssign({ ...state, owned }, { basis: "owner", entries, reason, context });
};
