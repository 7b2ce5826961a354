import type { AttemptState } from "./attempt-state.js";
import { chooseServerOrWait } from "./choose-server-or-wait.js";
import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { estimateEligibleServers } from "./estimate-eligible-servers.js";
import { rejectHeldBack } from "./reject-held-back.js";
import type { RequestState } from "./request-state.js";
import { resumeHedge } from "./resume-hedge.js";
import { selectPermitRate } from "./select-permit-rate.js";
import { sendToCheckedServer } from "./send-to-checked-server.js";
import type { ServerEstimate } from "./server-estimate.js";
import { startAttempt } from "./start-attempt.js";

// Returns a request to the queue. It keeps its rank, as the queue is ordered by latency target and not by arrival.
const requeueRequest = (draft: DispatchDraft, request: RequestState): void => {
    const service = draft.service(request.service);
    const running = new Set(service.running);
    running.delete(request.requestKey);
    draft.setService({ ...service, running, queue: [...service.queue, request.requestKey] });
};

const UNKNOWN = -1;

// Logs why a server does not get the request after its preflight check.
const logMove = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    readonly checked: ServerEstimate | undefined;
    readonly estimate: ServerEstimate | undefined;
}): void => {
    const { attempt, checked, estimate } = opts;
    const { instanceId, reportAgeMs, slowness } = attempt;
    draft.log({
        kind: "move",
        requestId: request.requestId,
        service: request.service,
        instanceId,
        reason: estimate === undefined ? "wait" : "another-server",
        inputs: {
            to: estimate?.server.server.instanceId ?? "",
            slowness,
            loadAgeMs: Math.round(Math.min(reportAgeMs, 1e6)),
            slownessNow: checked?.slowness ?? UNKNOWN,
            occupiedNow: checked?.occupied ?? UNKNOWN,
            costMs: Math.round(checked?.costMs ?? UNKNOWN),
            otherCostMs: Math.round(estimate?.costMs ?? UNKNOWN),
        },
    });
};

/**
 * Continues with a request once the server of its attempt was checked or a permit for it was answered: sends it to this
 * server or to a better one, or returns it to the queue.
 */
export const resumeRequest = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    /** Whether the request may be sent to a server whose requests need a permit. */
    readonly hasPermit: boolean;
}): void => {
    const { hasPermit } = opts;
    if (opts.attempt.isHedge && draft.state.hedgeShare > 0 && request.sentCount > 0) {
        resumeHedge(draft, request, opts.attempt);
        return;
    }
    // A hedge whose first attempt turned out not to have been sent takes its place.
    const attempt = draft.state.hedgeShare > 0 ? { ...opts.attempt, isHedge: false } : opts.attempt;
    const { instanceId, isHedge } = attempt;
    const { service: name } = request;
    draft.setRequest(request);
    if (rejectHeldBack(draft, request)) {
        drainQueue(draft, name);
        return;
    }
    const service = draft.service(name);
    const estimates = estimateEligibleServers(draft, service, request);
    const candidateCount = estimates.length;
    // Retries and hedges do not wait for a better server. A hedge that cannot be sent now is dropped.
    const estimate = request.attempts.length > 0 || request.sentCount > 0
        ? chooseServer(draft, estimates)
        : chooseServerOrWait(draft, request, { service, estimates });
    const checked = estimate?.server.server.instanceId === instanceId
        ? estimate
        : chooseServer(draft, estimates, other => other.server.server.instanceId === instanceId);
    const keepsServer = checked !== undefined && (hasPermit
        || (estimate !== undefined && checked.costMs <= estimate.costMs + DISPATCH_LIMITS.moveMarginMs));
    if (keepsServer) {
        if (hasPermit || selectPermitRate(draft.state, checked.server, draft.atMs) === undefined) {
            sendToCheckedServer(draft, request, { attempt, estimate: checked, candidateCount });
        }
        else {
            // The response to the check stated the limit, or the server is cold.
            startAttempt(draft, request, { estimate: checked, candidateCount, isHedge });
        }
        drainQueue(draft, name);
        return;
    }
    logMove(draft, request, { attempt, checked, estimate });
    if (estimate !== undefined) {
        startAttempt(draft, request, { estimate, candidateCount, isHedge });
    }
    else if (request.attempts.length === 0) {
        requeueRequest(draft, request);
    }
    drainQueue(draft, name);
};
