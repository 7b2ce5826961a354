import type { DispatchDraft } from "./dispatch-draft.js";
import { drainQueue } from "./drain-queue.js";
import { rejectRequest } from "./reject-request.js";

/**
 * Handles a caller that closed its connection. Waiting and idempotent requests are cancelled. A non-idempotent request
 * that was already sent keeps running, as cancelling it could leave its work half done.
 */
export const onCallerLeft = (draft: DispatchDraft, requestKey: string): void => {
    const request = draft.request(requestKey);
    if (request === undefined) {
        return;
    }
    const abandoned = { ...request, callerLeft: true };
    const isSent = request.attempts.some(attempt => attempt.phase === "sent");
    if (isSent && !request.route.isIdempotent) {
        draft.setRequest(abandoned);
        draft.log({ kind: "caller-left", requestId: request.requestId, service: request.service, inputs: {} });
        return;
    }
    rejectRequest(draft, abandoned, { reason: "caller-left" });
    drainQueue(draft, request.service);
};
