import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { selectWorkMs } from "./select-work-ms.js";

/**
 * Rejects a request that may not end before the process does, so that its caller goes to another VM. Returns false if it
 * ends in time, by its work or by its deadline.
 */
export const rejectTooLateForStop = (draft: DispatchDraft, request: RequestState): boolean => {
    const lastAtMs = draft.state.processEndsAtMs - DISPATCH_LIMITS.processEndMarginMs;
    const workMs = selectWorkMs(draft.service(request.service), request.route);
    const longestAtMs = Math.min(request.deadlineAtMs, draft.atMs + workMs * DISPATCH_LIMITS.stopWorkFactor);
    if (longestAtMs <= lastAtMs) {
        return false;
    }
    rejectRequest(draft, request, { reason: REJECT_REASONS.processStopping });
    return true;
};
