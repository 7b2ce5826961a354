import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { probeServers } from "./probe-servers.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import { tryHedge } from "./try-hedge.js";

/** Time passed: deadlines, second sends, waiting requests, and health checks that are due. */
export const onTick = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "dispatch-tick"; }>,
): void => {
    for (const service of draft.base.services.values()) {
        for (const requestKey of service.running) {
            const request = draft.request(requestKey);
            if (request === undefined) {
                continue;
            }
            if (request.deadlineAtMs - DISPATCH_LIMITS.answerMs / 2 <= draft.atMs) {
                rejectRequest(draft, request, { reason: REJECT_REASONS.deadline });
            }
            else {
                tryHedge(draft, request);
            }
        }
        if (service.queue.length > 0) {
            drainQueue(draft, service.name);
        }
    }
    probeServers(draft, event);
};
