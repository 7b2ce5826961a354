import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { selectHedge } from "./select-hedge.js";
import { sendToCheckedServer } from "./send-to-checked-server.js";
import { startAttempt } from "./start-attempt.js";
import { tryRetry } from "./try-retry.js";

const sendOrDrop = (draft: DispatchDraft, request: RequestState, attempt: AttemptState): void => {
    const decision = selectHedge(draft, request, { checkedInstanceId: attempt.instanceId });
    if (decision === undefined) {
        draft.log({
            kind: "hedge-dropped",
            requestId: request.requestId,
            service: request.service,
            instanceId: attempt.instanceId,
            inputs: { attempt: attempt.attemptId, attemptMs: Math.round(draft.atMs - attempt.startedAtMs) },
        });
        return;
    }
    const { estimate, checked, candidateCount } = decision;
    const keepsServer = checked !== undefined && checked.costMs <= estimate.costMs + DISPATCH_LIMITS.moveMarginMs;
    if (keepsServer) {
        sendToCheckedServer(draft, request, { attempt, estimate: checked, candidateCount });
    }
    else {
        startAttempt(draft, request, { estimate, candidateCount, isHedge: true });
    }
};

/**
 * Continues with a hedge once its server was checked. Everything is decided again, as the budgets and the loads may have
 * changed. Without the first attempt, which failed meanwhile, it is a retry.
 */
export const resumeHedge = (draft: DispatchDraft, request: RequestState, attempt: AttemptState): void => {
    draft.setRequest(request);
    if (request.attempts.length > 0) {
        sendOrDrop(draft, request, attempt);
    }
    else if (!tryRetry(draft, request)) {
        rejectRequest(draft, request, { reason: request.mayHaveRun ? REJECT_REASONS.lost : REJECT_REASONS.shed });
    }
    drainQueue(draft, request.service);
};
