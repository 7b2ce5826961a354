import { allowsResend } from "./allows-resend.js";
import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { isTooLate } from "./is-too-late.js";
import { listEstimates } from "./list-estimates.js";
import type { RequestState } from "./request-state.js";
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
    const estimates = listEstimates(draft, service, request);
    const best = chooseServer(draft, estimates);
    if (best === undefined || isTooLate(service, request, draft.atMs)) {
        return false;
    }
    startAttempt(draft, request, { estimate: best, candidateCount: estimates.length, isHedge: false });
    return true;
};
