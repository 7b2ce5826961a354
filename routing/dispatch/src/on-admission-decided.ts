import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { queueRequest } from "./queue-request.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";

const STATUS_TOO_MANY_REQUESTS = 429;

/** Handles the decision whether a request is within the quota of its tenant. */
export const onAdmissionDecided = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "admission-decided"; }>,
): void => {
    const { requestKey, tenantName, verdict, retryAfterMs } = event;
    const request = draft.request(requestKey);
    if (request === undefined || request.usesQuota !== undefined) {
        // Its caller has left meanwhile.
        if (verdict === "admitted") {
            draft.emit({ type: "release-admission", tenantName, admittedAtMs: draft.atMs });
        }
        return;
    }
    const decided = { ...request, usesQuota: verdict === "admitted" };
    draft.setRequest(decided);
    if (verdict === "admitted") {
        queueRequest(draft, requestKey);
        return;
    }
    rejectRequest(draft, decided, {
        reason: verdict === "exceeded" ? REJECT_REASONS.quotaExceeded : REJECT_REASONS.quotaUnknown,
        waitMs: retryAfterMs,
        notRunStatusCode: verdict === "exceeded" ? STATUS_TOO_MANY_REQUESTS : undefined,
        inputs: { tenant: tenantName },
    });
};
