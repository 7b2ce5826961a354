import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { onPermitAnswered } from "./on-permit-answered.js";
import { probeServers } from "./probe-servers.js";
import { recordSilentAttempts } from "./record-silent-attempts.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { tryHedge } from "./try-hedge.js";

// How long no permit is asked for when the VM that counts the requests of a server did not answer. Another one takes its
// place in the meantime.
const LOST_PERMIT_RETRY_MS = 500;

const endLatePermitQueries = (draft: DispatchDraft, request: RequestState): void => {
    for (const { attemptId, instanceId, phase, startedAtMs } of request.attempts) {
        if (phase === "awaiting-permit" && draft.atMs - startedAtMs > DISPATCH_LIMITS.permitTimeoutMs) {
            onPermitAnswered(draft, {
                attemptId,
                instanceId,
                isGranted: false,
                retryAfterMs: LOST_PERMIT_RETRY_MS,
            });
        }
    }
};

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
                recordSilentAttempts(draft, request);
                rejectRequest(draft, request, { reason: REJECT_REASONS.deadline });
            }
            else {
                endLatePermitQueries(draft, request);
                tryHedge(draft, draft.request(requestKey) ?? request);
            }
        }
        if (service.queue.length > 0) {
            drainQueue(draft, service.name);
        }
    }
    probeServers(draft, event);
};
