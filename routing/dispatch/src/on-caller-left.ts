import type { DispatchDraft } from "./dispatch-draft.js";
import { drainQueue } from "./drain-queue.js";
import { rejectRequest } from "./reject-request.js";

/**
 * The caller closed its connection. Waiting requests and idempotent ones end at once. Another one that is at a server
 * already goes on there, as stopping it could leave the work half done.
 */
export const onCallerLeft = (draft: DispatchDraft, requestKey: string): void => {
    const request = draft.request(requestKey);
    if (request === undefined) {
        return;
    }
    const left = { ...request, callerLeft: true };
    const isSent = request.attempts.some(attempt => attempt.phase === "sent");
    if (isSent && !request.route.isIdempotent) {
        draft.setRequest(left);
        draft.log({ kind: "caller-left", requestId: request.requestId, service: request.service, inputs: {} });
        return;
    }
    rejectRequest(draft, left, { reason: "caller-left" });
    drainQueue(draft, request.service);
};
