import { allowsResend } from "./allows-resend.js";
import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { RequestState } from "./request-state.js";
import { selectWorkMs } from "./select-work-ms.js";
import { startAttempt } from "./start-attempt.js";

/** Sends a request, none of whose attempts is left, to another server if budget, deadline and servers allow it. */
export const tryAgain = (draft: DispatchDraft, request: RequestState): boolean => {
    const service = draft.service(request.service);
    const isResend = request.sentCount > 0;
    if (request.callerLeft || request.sentCount >= request.route.maxAttempts) {
        return false;
    }
    if (isResend && !allowsResend(draft, service)) {
        return false;
    }
    const { best, candidateCount } = chooseServer(draft, service, request);
    const remainingMs = request.deadlineAtMs - DISPATCH_LIMITS.answerMs - draft.atMs;
    // A send that cannot be answered any more would only use up the budget.
    if (best === undefined || remainingMs <= selectWorkMs(service, request.route) / 2) {
        return false;
    }
    startAttempt(draft, request, { estimate: best, candidateCount, isHedge: false });
    return true;
};
