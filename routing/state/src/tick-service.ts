import { buildCandidates } from "./build-candidates.js";
import { dispatchQueue } from "./dispatch-queue.js";
import { evaluateUrgentTargets } from "./evaluate-urgent-targets.js";
import type { Mutable } from "./mutable.js";
import { REASON_CODES } from "./reason-codes.js";
import { rejectRequest } from "./reject-request.js";
import { requestQueues } from "./request-queues.js";
import type { RequestState } from "./request-state.js";
import { retryBudget } from "./retry-budget.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { startAttempt } from "./start-attempt.js";

const expireQueued = (draft: RoutingDraft, service: Mutable<ServiceState>): void => {
    for (const urgency of ["urgent", "normal", "patient"] as const) {
        let entry = service.queue[urgency][0];
        while (entry !== undefined && entry.deadlineAtMs <= draft.atMs) {
            const request = draft.request(entry.requestId);
            if (request === undefined) {
                return;
            }
            rejectRequest(draft, service, request, {
                outcome: request.mayHaveRun ? "unknown" : "not-run",
                statusCode: 504,
                reasonCode: REASON_CODES.deadlineInQueue,
                retryAfterMs: ROUTING_LIMITS.retryAfterMs,
            });
            entry = service.queue[urgency][0];
        }
    }
};

// Handles a deadline that passed while an attempt is in flight.
const expireInFlight = (draft: RoutingDraft, service: Mutable<ServiceState>, request: RequestState): void => {
    const attempt = request.attempts[0];
    if (!request.classTargets.repeatable && request.cancellationDeadlineAtMs === undefined && attempt !== undefined) {
        // The response to the cancellation may still show whether the non-repeatable request ran.
        const cancellationDeadlineAtMs = draft.atMs + ROUTING_LIMITS.cancellationTimeoutMs;
        draft.setRequest({ ...request, cancellationDeadlineAtMs, hedgeAtMs: undefined });
        draft.emit({
            type: "cancel-attempt",
            attemptId: attempt.attemptId,
            reason: REASON_CODES.deadlineInFlight,
        });
        return;
    }
    rejectRequest(draft, service, request, {
        outcome: "unknown",
        statusCode: 504,
        reasonCode: REASON_CODES.deadlineInFlight,
    });
};

const tryHedge = (draft: RoutingDraft, service: Mutable<ServiceState>, request: RequestState): void => {
    if (!retryBudget.allowsHedge(service, draft.atMs)) {
        draft.setRequest({ ...request, hedgeAtMs: undefined });
        return;
    }
    const { candidates } = buildCandidates(service, request, {
        atMs: draft.atMs,
        availabilityZone: draft.base.availabilityZone,
    });
    const choice = draft.base.policy.select({
        candidates: candidates.filter(candidate => !request.triedAddresses.includes(candidate.address)),
        urgency: request.classTargets.urgency,
        reserveSlot: service.reserveSlot,
        overdue: false,
        random: draft.nextRandom(),
        cursor: service.selectionCount,
    });
    if (choice === undefined) {
        draft.setRequest({ ...request, hedgeAtMs: draft.atMs + ROUTING_LIMITS.hedgeRecheckMs });
        return;
    }
    startAttempt(draft, service, request, {
        address: choice.address,
        candidates: candidates.map(candidate => candidate.address),
        kind: "hedge",
    });
};

// Returns the earliest time at which a queued or in-flight request needs a tick.
const computeWakeAtMs = (draft: RoutingDraft, service: ServiceState): number => {
    let wakeAtMs = requestQueues.length(service) > 0 ? draft.atMs + ROUTING_LIMITS.queueRecheckMs : Infinity;
    for (const entries of [service.queue.urgent, service.queue.normal, service.queue.patient]) {
        wakeAtMs = Math.min(wakeAtMs, entries[0]?.deadlineAtMs ?? Infinity);
    }
    for (const requestId of service.inFlightIds) {
        const request = draft.request(requestId);
        if (request !== undefined) {
            const endAtMs = request.cancellationDeadlineAtMs ?? request.deadlineAtMs;
            wakeAtMs = Math.min(wakeAtMs, endAtMs, request.hedgeAtMs ?? Infinity);
        }
    }
    return service.pressureLevel > 0 ? Math.min(wakeAtMs, service.nextEvaluationAtMs) : wakeAtMs;
};

/** Runs the due work of one service: deadlines, hedges, queued requests and the evaluation of urgent targets. */
export const tickService = (draft: RoutingDraft, service: Mutable<ServiceState>): void => {
    evaluateUrgentTargets(service, draft.atMs);
    expireQueued(draft, service);
    for (const requestId of service.inFlightIds) {
        const request = draft.request(requestId);
        if (request === undefined) {
            continue;
        }
        if ((request.cancellationDeadlineAtMs ?? request.deadlineAtMs) <= draft.atMs) {
            expireInFlight(draft, service, request);
        }
        else if (request.hedgeAtMs !== undefined && request.hedgeAtMs <= draft.atMs) {
            tryHedge(draft, service, request);
        }
    }
    dispatchQueue(draft, service);
    service.wakeAtMs = computeWakeAtMs(draft, service);
};
