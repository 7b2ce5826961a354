import type { DispatchDraft } from "./dispatch-draft.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { selectRequestHold } from "./select-request-hold.js";

/**
 * Rejects a request that is held back because servers ended under it. The caller learns that this attempt has not run,
 * and when the request is tried again. Returns false if it is not held back.
 */
export const rejectHeldBack = (draft: DispatchDraft, request: RequestState): boolean => {
    const hold = selectRequestHold(draft, request);
    if (hold === undefined || hold.remainingMs === 0) {
        return false;
    }
    const { fingerprint } = request;
    const inputs = { fingerprint, servers: hold.servers };
    rejectRequest(draft, request, { reason: REJECT_REASONS.crashesServers, waitMs: hold.remainingMs, inputs });
    return true;
};
