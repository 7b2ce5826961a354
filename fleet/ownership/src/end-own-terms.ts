import { appendAssign } from "./append-assign.js";
import { assignEntry } from "./assign-entry.js";
import { currentTerm } from "./current-term.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { usableBound } from "./usable-bound.js";

/**
 * Ends terms of this daemon at the bounds that it holds. From here on it uses no promise above them, as the record
 * may reach the log at any time, even when its answer is lost.
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
        readonly moment: OwnershipMoment;
    },
): OwnershipTransition => {
    const owned = new Map(state.owned);
    const entries = opts.successors.flatMap(successor => {
        const { share } = successor;
        const current = currentTerm(state, share);
        const known = owned.get(share);
        if (current === undefined || known === undefined) {
            return [];
        }
        const fromMs = usableBound(current, known);
        owned.set(share, { ...known, relinquishedAtMs: Math.min(known.relinquishedAtMs, fromMs) });
        return [assignEntry(state, { ...successor, term: current.term + 1, fromMs, moment: opts.moment })];
    });
    const { reason, moment } = opts;
    return appendAssign({ ...state, owned }, { basis: "owner", entries, reason, moment });
};
