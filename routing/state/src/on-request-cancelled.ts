import { cancelAttempts } from "./cancel-attempts.js";
import { dispatchQueue } from "./dispatch-queue.js";
import { REASON_CODES } from "./reason-codes.js";
import { rejectRequest } from "./reject-request.js";
import type { RoutingDraft } from "./routing-draft.js";

const CLIENT_CLOSED_REQUEST = 499;

/**
 * Handles a caller that disconnected. A non-repeatable request in flight continues: its outcome is stored for a repeat
 * of its key, and cancelling it would only make the outcome uncertain.
 */
export const onRequestCancelled = (draft: RoutingDraft, requestId: string): void => {
    const request = draft.request(requestId);
    const service = request === undefined ? undefined : draft.service(request.classTargets.service);
    if (request === undefined || service === undefined) {
        return;
    }
    if (request.phase !== "queued" && !request.classTargets.repeatable) {
        draft.setRequest({ ...request, callerGone: true });
        return;
    }
    if (request.phase === "relaying") {
        cancelAttempts(draft, service, request, { reason: REASON_CODES.callerGone });
        draft.removeRequest(requestId);
        draft.emit({ type: "finish-request", requestId, outcome: "unknown" });
    }
    else {
        const neverSent = request.phase === "queued" && !request.mayHaveRun;
        rejectRequest(draft, service, request, {
            outcome: neverSent ? "not-run" : "unknown",
            statusCode: CLIENT_CLOSED_REQUEST,
            reasonCode: REASON_CODES.callerGone,
            counted: false,
        });
    }
    dispatchQueue(draft, service);
};
