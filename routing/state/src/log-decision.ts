import type { RequestState } from "./request-state.js";
import type { RoutingDraft } from "./routing-draft.js";

/** Emits the effect that logs a decision. */
export const logDecision = (
    draft: RoutingDraft,
    opts: {
        readonly kind: string;
        readonly reason: string;
        readonly service: string;
        readonly request?: RequestState | undefined;
        readonly candidates?: readonly string[] | undefined;
        readonly choice?: string | undefined;
    },
): void => {
    draft.emit({
        type: "log-decision",
        decision: {
            kind: opts.kind,
            requestId: opts.request?.requestId,
            service: opts.service,
            className: opts.request?.classTargets.name,
            candidates: opts.candidates ?? [],
            choice: opts.choice,
            reason: opts.reason,
        },
    });
};
