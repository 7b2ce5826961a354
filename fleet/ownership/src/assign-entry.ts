import { capFor } from "./cap-for.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import type { PendingAssign } from "./pending-assign.js";

/** Entry of an `assign` record. */
export const assignEntry = (
    state: OwnershipState,
    opts: {
        readonly share: number;
        readonly term: number;
        readonly owner: OwnershipMember;
        readonly guardian: OwnershipMember | undefined;
        readonly fromMs: number;
        readonly moment: OwnershipMoment;
    },
): PendingAssign["record"]["entries"][number] => {
    // Rounded up: a start below a promised bound by a fraction would overlap with it.
    const fromMs = Math.max(0, Math.ceil(opts.fromMs));
    const { guardian } = opts;
    return {
        share: opts.share,
        term: opts.term,
        owner: opts.owner.daemon,
        ...guardian === undefined ? {} : { guardian: guardian.daemon },
        fromMs,
        capMs: capFor(state, { boundMs: fromMs, hasGuardian: guardian !== undefined, wallMs: opts.moment.wallMs }),
    };
};
