import { editServer } from "./edit-server.js";
import { estimateOthersLoad } from "./estimate-others-load.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import { requestQueues } from "./request-queues.js";
import type { RequestState } from "./request-state.js";
import { rollingCounts } from "./rolling-counts.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import { scheduleWake } from "./schedule-wake.js";
import type { ServiceState } from "./service-state.js";

// Returns undefined for requests that are not hedged, and while the class has too few samples.
const computeHedgeAtMs = (service: ServiceState, request: RequestState, atMs: number): number | undefined => {
    const { classTargets } = request;
    if (classTargets.urgency !== "urgent" || !classTargets.repeatable || !request.bodyReplayable) {
        return undefined;
    }
    if (request.callerAttempt > 1 || request.attemptsStarted > 0) {
        return undefined;
    }
    const hedgeAfterMs = service.classes.get(classTargets.name)?.hedgeAfterMs;
    return hedgeAfterMs === undefined ? undefined : atMs + hedgeAfterMs;
};

/** Assigns a request to a backend server and starts an attempt there. */
export const startAttempt = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    opts: {
        readonly address: string;
        readonly candidates: readonly string[];
        readonly kind: "first" | "retry" | "hedge" | "trial";
    },
): void => {
    const { atMs } = draft;
    const { address } = opts;
    const attemptId = `${request.requestId}.${request.attemptsStarted + 1}`;
    const isHedge = opts.kind === "hedge";
    const hedgeAtMs = isHedge ? undefined : computeHedgeAtMs(service, request, atMs);
    const server = editServer(service, address);
    const predictedLoad = server === undefined
        ? 0
        : server.ownInFlight + estimateOthersLoad(service, server, { atMs, trust: 1 });
    if (request.phase === "queued") {
        requestQueues.remove(service, request);
        service.inFlightIds = [...service.inFlightIds, request.requestId];
    }
    if (isHedge) {
        service.hedges = rollingCounts.add(service.hedges, atMs);
    }
    else if (request.nextAttemptIsRetry) {
        service.retries = rollingCounts.add(service.retries, atMs);
    }
    draft.setRequest({
        ...request,
        phase: "in-flight",
        attempts: [...request.attempts, { attemptId, address, startedAtMs: atMs, isHedge, predictedLoad }],
        attemptsStarted: request.attemptsStarted + 1,
        retries: request.retries + (request.nextAttemptIsRetry ? 1 : 0),
        nextAttemptIsRetry: false,
        triedAddresses: [...request.triedAddresses, address],
        hedgeAtMs,
    });
    if (server !== undefined) {
        server.ownInFlight += 1;
    }
    service.patientInFlight += request.classTargets.urgency === "patient" ? 1 : 0;
    service.selectionCount += 1;
    scheduleWake(service, Math.min(request.deadlineAtMs, hedgeAtMs ?? Infinity));
    draft.emit({
        type: "start-attempt",
        requestId: request.requestId,
        attemptId,
        attemptNumber: request.callerAttempt + request.retries + (isHedge || request.nextAttemptIsRetry ? 1 : 0),
        service: service.name,
        address,
        deadlineAtMs: request.deadlineAtMs,
        requireLiveConnection: !request.classTargets.repeatable,
        silenceLimitMs: Math.max(
            ROUTING_LIMITS.minSilenceLimitMs,
            ROUTING_LIMITS.silenceLimitTargetFactor * request.classTargets.lateness.withinMs,
        ),
    });
    logDecision(draft, {
        kind: "route",
        service: service.name,
        request,
        candidates: opts.candidates,
        choice: address,
        reason: opts.kind,
    });
};
