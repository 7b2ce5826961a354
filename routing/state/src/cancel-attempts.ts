import { detachAttempt } from "./detach-attempt.js";
import type { Mutable } from "./mutable.js";
import type { RequestState } from "./request-state.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { ServiceState } from "./service-state.js";

/** Cancels all attempts of a request except the one that `except` names. */
export const cancelAttempts = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    opts: { readonly reason: string; readonly except?: string | undefined; },
): RequestState => {
    let remaining = request;
    for (const attempt of request.attempts) {
        if (attempt.attemptId !== opts.except) {
            draft.emit({ type: "cancel-attempt", attemptId: attempt.attemptId, reason: opts.reason });
            remaining = { ...detachAttempt(service, remaining, attempt), mayHaveRun: true };
        }
    }
    return remaining;
};
