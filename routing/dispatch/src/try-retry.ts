import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { estimateEligibleServers } from "./estimate-eligible-servers.js";
import { hasRetryBudget } from "./has-retry-budget.js";
import { isTooLate } from "./is-too-late.js";
import type { RequestState } from "./request-state.js";
import { selectRequestHold } from "./select-request-hold.js";
import { startAttempt } from "./start-attempt.js";

/** Retries a request without attempts in progress on another server, if retry budget, deadline and servers allow it. */
export const tryRetry = (draft: DispatchDraft, request: RequestState): boolean => {
    const service = draft.service(request.service);
    const isResend = request.sentCount > 0;
    if (request.callerLeft || request.sentCount >= request.route.maxAttempts) {
        return false;
    }
    // A request under which a server has ended before gets no second server, as it may end that one as well.
    const hold = selectRequestHold(draft, request);
    if (hold !== undefined && (hold.remainingMs > 0 || (isResend && hold.crashCount > 0))) {
        return false;
    }
    if (isResend && !hasRetryBudget(draft, service)) {
        return false;
    }
    const estimates = estimateEligibleServers(draft, service, request);
    const best = chooseServer(draft, estimates);
    if (best === undefined || isTooLate(service, request, draft.atMs)) {
        return false;
    }
    startAttempt(draft, request, { estimate: best, candidateCount: estimates.length, isHedge: false });
    return true;
};
