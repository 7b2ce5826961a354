import { dispatchQueue } from "./dispatch-queue.js";
import { effectivePatientLimit } from "./effective-patient-limit.js";
import { evaluateUrgentTargets } from "./evaluate-urgent-targets.js";
import type { Mutable } from "./mutable.js";
import { REASON_CODES } from "./reason-codes.js";
import { recordClassEvent } from "./record-class-event.js";
import { rejectRequest } from "./reject-request.js";
import { requestQueues } from "./request-queues.js";
import type { RequestState } from "./request-state.js";
import { rollingCounts } from "./rolling-counts.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { RoutingEvent } from "./routing-event.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import { scheduleWake } from "./schedule-wake.js";
import type { ServiceState } from "./service-state.js";

type RequestArrived = Extract<RoutingEvent, { readonly type: "request-arrived"; }>;

const rejectUnknownServiceOrClass = (draft: RoutingDraft, event: RequestArrived, reasonCode: string): void => {
    draft.emit({
        type: "log-decision",
        decision: {
            kind: "reject",
            requestId: event.requestId,
            service: event.service,
            className: event.className,
            candidates: [],
            choice: undefined,
            reason: reasonCode,
        },
    });
    draft.emit({
        type: "reject-request",
        requestId: event.requestId,
        outcome: "not-run",
        statusCode: 404,
        reasonCode,
        retryAfterMs: undefined,
    });
    draft.emit({ type: "finish-request", requestId: event.requestId, outcome: "not-run" });
};

// Estimates when a request that arrives now leaves the queue, from the completion rate of the last seconds.
const estimateQueueWaitMs = (service: ServiceState, request: RequestState, atMs: number): number => {
    const { urgent, normal } = service.queue;
    const urgency = request.classTargets.urgency;
    const ahead = urgency === "urgent"
        ? urgent.length
        : urgency === "normal"
        ? urgent.length + normal.length
        : requestQueues.length(service);
    const perSecond = rollingCounts.sum(service.completions, atMs - 1000, 2) / 2;
    return ahead === 0 || perSecond === 0 ? 0 : ahead / perSecond * 1000;
};

// Returns the queued request to reject first: the least urgent, and of those the one with the latest deadline.
const findLeastUrgent = (draft: RoutingDraft, service: ServiceState): RequestState | undefined => {
    const entry = service.queue.patient.at(-1) ?? service.queue.normal.at(-1) ?? service.queue.urgent.at(-1);
    return entry === undefined ? undefined : draft.request(entry.requestId);
};

const rejectWithRetryAfter = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    opts: { readonly reasonCode: string; readonly statusCode?: number; readonly retryAfterMs?: number; },
): void => {
    rejectRequest(draft, service, request, {
        outcome: request.mayHaveRun ? "unknown" : "not-run",
        statusCode: opts.statusCode ?? 503,
        reasonCode: opts.reasonCode,
        retryAfterMs: opts.retryAfterMs ?? ROUTING_LIMITS.retryAfterMs,
    });
};

/** Admits a request to the queue of its service, or rejects it. */
export const onRequestArrived = (draft: RoutingDraft, event: RequestArrived): void => {
    if (draft.request(event.requestId) !== undefined) {
        return;
    }
    const service = draft.service(event.service);
    if (service === undefined) {
        rejectUnknownServiceOrClass(draft, event, REASON_CODES.unknownService);
        return;
    }
    const classTargets = service.classes.get(event.className)?.targets;
    if (classTargets === undefined) {
        rejectUnknownServiceOrClass(draft, event, REASON_CODES.unknownClass);
        return;
    }
    const { atMs } = draft;
    evaluateUrgentTargets(service, atMs);
    service.lastSequence += 1;
    service.arrivals = rollingCounts.add(service.arrivals, atMs);
    if (classTargets.urgency === "urgent" && classTargets.repeatable) {
        service.hedgeableArrivals = rollingCounts.add(service.hedgeableArrivals, atMs);
    }
    recordClassEvent(service, classTargets.name, { atMs, count: "arrived" });
    const request: RequestState = {
        requestId: event.requestId,
        classTargets,
        bodyReplayable: event.bodyReplayable,
        callerAttempt: event.callerAttempt,
        arrivedAtMs: atMs,
        deadlineAtMs: event.deadlineAtMs,
        sequence: service.lastSequence,
        phase: "queued",
        attempts: [],
        attemptsStarted: 0,
        retries: 0,
        reselections: 0,
        nextAttemptIsRetry: false,
        mayHaveRun: false,
        triedAddresses: [],
        hedgeAtMs: undefined,
        cancellationDeadlineAtMs: undefined,
        callerGone: false,
    };
    if (event.deadlineAtMs <= atMs) {
        rejectWithRetryAfter(draft, service, request, { reasonCode: REASON_CODES.deadlineInQueue, statusCode: 504 });
        return;
    }
    if (service.servers.length === 0) {
        rejectWithRetryAfter(draft, service, request, { reasonCode: REASON_CODES.noBackendServer });
        return;
    }
    if (classTargets.urgency === "patient" && effectivePatientLimit(service, atMs) === 0) {
        rejectWithRetryAfter(draft, service, request, { reasonCode: REASON_CODES.yielded });
        return;
    }
    const waitMs = estimateQueueWaitMs(service, request, atMs);
    if (atMs + waitMs >= event.deadlineAtMs) {
        rejectWithRetryAfter(draft, service, request, {
            reasonCode: REASON_CODES.overloaded,
            retryAfterMs: Math.max(ROUTING_LIMITS.retryAfterMs, Math.ceil(waitMs)),
        });
        return;
    }
    draft.setRequest(request);
    requestQueues.insert(service, request);
    scheduleWake(service, request.deadlineAtMs);
    dispatchQueue(draft, service);
    const excess = requestQueues.length(service) > ROUTING_LIMITS.maxQueuedPerService;
    const leastUrgent = excess ? findLeastUrgent(draft, service) : undefined;
    if (leastUrgent !== undefined) {
        rejectWithRetryAfter(draft, service, leastUrgent, { reasonCode: REASON_CODES.overloaded });
    }
};
