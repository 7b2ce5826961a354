import { computeCapMs } from "./compute-cap-ms.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipState } from "./ownership-state.js";
import type { PendingAssign } from "./pending-assign.js";
import type { StepContext } from "./step-context.js";

/** Creates an entry of an `assign` record. */
export const createAssignEntry = (
    state: OwnershipState,
    opts: {
        readonly share: number;
        readonly term: number;
        readonly owner: OwnershipMember;
        readonly guardian: OwnershipMember | undefined;
        readonly fromMs: number;
        readonly context: StepContext;
    },
): PendingAssign["record"]["entries"][number] => {
    // Rounded up, as a start a fraction of a millisecond below a promised bound would overlap with it.
    const fromMs = Math.max(0, Math.ceil(opts.fromMs));
    const { guardian } = opts;
    return {
        share: opts.share,
        term: opts.term,
        owner: opts.owner.daemon,
        ...guardian === undefined ? {} : { guardian: guardian.daemon },
        fromMs,
        capMs: computeCapMs(state, {
            boundMs: fromMs,
            hasGuardian: guardian !== undefined,
            wallMs: opts.context.wallMs,
        }),
    };
};
