import type { DispatchDraft } from "./dispatch-draft.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import { selectRemainingMs } from "./select-remaining-ms.js";

/**
 * Handles the end of a time that the clock did not count, as the VM was suspended. No load report is valid any longer,
 * and requests that were not sent before their deadline must not be sent after it.
 */
export const onResumed = (draft: DispatchDraft, uncountedMs: number): void => {
    for (const service of draft.state.services.values()) {
        for (const instanceId of service.servers.keys()) {
            draft.updateServer(instanceId, { load: undefined, measuredAtMs: -Infinity });
        }
    }
    for (const request of draft.state.requests.values()) {
        const isUnsent = request.attempts.every(attempt => attempt.phase !== "sent");
        if (isUnsent && selectRemainingMs(request, draft.atMs) <= uncountedMs) {
            rejectRequest(draft, request, { reason: REJECT_REASONS.suspended });
        }
    }
};
