import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { probeServers } from "./probe-servers.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import { tryHedge } from "./try-hedge.js";

/** Handles a tick: enforces deadlines, sends hedges and waiting requests, and probes servers. */
export const onTick = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "dispatch-tick"; }>,
): void => {
    for (const service of draft.state.services.values()) {
        for (const requestKey of service.running) {
            const request = draft.request(requestKey);
            if (request === undefined) {
                continue;
            }
            if (request.deadlineAtMs - DISPATCH_LIMITS.deadlineMarginMs / 2 <= draft.atMs) {
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
