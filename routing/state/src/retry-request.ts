import { leaveInFlight } from "./leave-in-flight.js";
import type { Mutable } from "./mutable.js";
import { requestQueues } from "./request-queues.js";
import type { RequestState } from "./request-state.js";
import { retryBudget } from "./retry-budget.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { wakeAt } from "./wake-at.js";

/**
 * Puts a request without attempts back into the queue if it may have another attempt. `reselection` is for attempts
 * of which no byte was sent: they cost no execution and need neither the budget nor a buffered body.
 */
export const retryRequest = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    opts: { readonly reselection: boolean; },
): boolean => {
    const allowed = request.deadlineAtMs > draft.atMs && !request.callerGone && request.giveUpAtMs === undefined
        && (opts.reselection
            ? request.reselections < ROUTING_LIMITS.reselectionsPerRequest
            : request.bodyReplayable && request.callerAttempt <= 1
                && request.retries < ROUTING_LIMITS.retriesPerRequest
                && retryBudget.allowsRetry(service, draft.atMs));
    if (!allowed) {
        return false;
    }
    leaveInFlight(service, request.requestId);
    const queued: RequestState = {
        ...request,
        phase: "queued",
        hedgeAtMs: undefined,
        retrying: !opts.reselection,
        reselections: request.reselections + (opts.reselection ? 1 : 0),
    };
    draft.setRequest(queued);
    requestQueues.insert(service, queued);
    wakeAt(service, queued.deadlineAtMs);
    return true;
};
