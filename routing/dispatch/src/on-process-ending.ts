import type { DispatchDraft } from "./dispatch-draft.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";

/** Rejects the requests that no server is running. Otherwise their callers would only see their connection close. */
export const onProcessEnding = (draft: DispatchDraft): void => {
    for (const request of draft.state.requests.values()) {
        if (request.attempts.every(attempt => attempt.phase !== "sent")) {
            rejectRequest(draft, request, { reason: REJECT_REASONS.processEnding });
        }
    }
};
