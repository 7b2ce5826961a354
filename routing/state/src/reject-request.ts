import type { Outcome } from "@marigoldstall/core.types";
import { cancelAttempts } from "./cancel-attempts.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import { recordClassEvent } from "./record-class-event.js";
import { removeInFlight } from "./remove-in-flight.js";
import { requestQueues } from "./request-queues.js";
import type { RequestState } from "./request-state.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { ServiceState } from "./service-state.js";

/** Ends a request without a response from a backend server. */
export const rejectRequest = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    opts: {
        readonly outcome: Exclude<Outcome, "completed">;
        readonly statusCode: number;
        readonly reasonCode: string;
        readonly retryAfterMs?: number | undefined;
        /** Whether it counts in the statistics of the class. A request whose caller disconnected does not. */
        readonly counted?: boolean | undefined;
    },
): void => {
    if (request.phase === "queued") {
        requestQueues.remove(service, request);
    }
    cancelAttempts(draft, service, request, { reason: opts.reasonCode });
    removeInFlight(service, request.requestId);
    draft.removeRequest(request.requestId);
    if (opts.counted !== false) {
        recordClassEvent(service, request.classTargets.name, {
            atMs: draft.atMs,
            count: opts.outcome === "unknown" ? "unknown" : "rejected",
        });
    }
    logDecision(draft, { kind: "reject", service: service.name, request, reason: opts.reasonCode });
    draft.emit({
        type: "reject-request",
        requestId: request.requestId,
        outcome: opts.outcome,
        statusCode: opts.statusCode,
        reasonCode: opts.reasonCode,
        retryAfterMs: opts.retryAfterMs,
    });
    draft.emit({ type: "finish-request", requestId: request.requestId, outcome: opts.outcome });
};
