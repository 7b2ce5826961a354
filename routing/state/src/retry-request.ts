import type { Mutable } from "./mutable.js";
import { removeInFlight } from "./remove-in-flight.js";
import { requestQueues } from "./request-queues.js";
import type { RequestState } from "./request-state.js";
import { retryBudget } from "./retry-budget.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import { scheduleWake } from "./schedule-wake.js";
import type { ServiceState } from "./service-state.js";

/**
 * Requeues a request without open attempts if another attempt is allowed, and returns whether it did. `reselection` is
 * for attempts of which no byte was sent: they cost no execution and need neither the budget nor a buffered body.
 */
export const retryRequest = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    opts: { readonly reselection: boolean; },
): boolean => {
    const allowed = request.deadlineAtMs > draft.atMs && !request.callerGone
        && request.cancellationDeadlineAtMs === undefined
        && (opts.reselection
            ? request.reselections < ROUTING_LIMITS.maxReselectionsPerRequest
            : request.bodyReplayable && request.callerAttempt <= 1
                && request.retries < ROUTING_LIMITS.maxRetriesPerRequest
                && retryBudget.allowsRetry(service, draft.atMs));
    if (!allowed) {
        return false;
    }
    removeInFlight(service, request.requestId);
    const queued: RequestState = {
        ...request,
        phase: "queued",
        hedgeAtMs: undefined,
        nextAttemptIsRetry: !opts.reselection,
        reselections: request.reselections + (opts.reselection ? 1 : 0),
    };
    draft.setRequest(queued);
    requestQueues.insert(service, queued);
    scheduleWake(service, queued.deadlineAtMs);
    return true;
};
