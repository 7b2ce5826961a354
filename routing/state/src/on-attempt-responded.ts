import type { AttemptState } from "./attempt-state.js";
import { cancelAttempts } from "./cancel-attempts.js";
import { detachAttempt } from "./detach-attempt.js";
import { dispatchQueue } from "./dispatch-queue.js";
import { findAttempt } from "./find-attempt.js";
import { findServer } from "./find-server.js";
import type { Mutable } from "./mutable.js";
import { REASON_CODES } from "./reason-codes.js";
import { recordAttemptLatency } from "./record-attempt-latency.js";
import { recordInstance } from "./record-instance.js";
import { recordLeaving } from "./record-leaving.js";
import { recordLoadReport } from "./record-load-report.js";
import { recordServerFailure } from "./record-server-failure.js";
import { recordServerLatency } from "./record-server-latency.js";
import { recordServerSuccess } from "./record-server-success.js";
import { rejectRequest } from "./reject-request.js";
import { removeInFlight } from "./remove-in-flight.js";
import type { RequestState } from "./request-state.js";
import { retryRequest } from "./retry-request.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { RoutingEvent } from "./routing-event.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

type AttemptResponded = Extract<RoutingEvent, { readonly type: "attempt-responded"; }>;

const FAILURE_STATUS_CODES: readonly number[] = [500, 502, 503, 504];

// Updates the backend server from the headers of a response.
const updateServerFromResponse = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    attempt: AttemptState,
    event: AttemptResponded,
): void => {
    const { address } = attempt;
    recordInstance(draft, service, address, event.instanceId);
    const server = findServer(service, address);
    const isCurrentInstance = event.instanceId === undefined || server?.instanceId === event.instanceId;
    if (server === undefined || !isCurrentInstance) {
        return;
    }
    if (event.load !== undefined) {
        recordLoadReport(service, address, {
            atMs: draft.atMs,
            load: event.load,
            ownInFlight: Math.max(0, server.ownInFlight - 1),
            source: event.notRun ? "refusal" : "response",
        });
    }
    else {
        updateServer(service, address, { lastObservedAtMs: draft.atMs });
    }
    // Without an instance id, the evidence applies until the instance is known.
    const instanceId = event.instanceId ?? server.instanceId ?? "";
    if (event.draining) {
        const isNew = recordLeaving(draft, service, address, { instanceId, observedBy: draft.base.vmId });
        if (isNew) {
            draft.emit({
                type: "publish-evidence",
                evidence: { service: service.name, address, instanceId, kind: "leaving", observedBy: draft.base.vmId },
            });
        }
    }
    else if (server.leavingContradicted && !event.notRun) {
        updateServer(service, address, { leavingContradicted: false, leavingInstanceIds: [] });
    }
    if (event.notRun && !event.draining && event.load === undefined) {
        // A backend server sheds requests when its slots and its queue are full.
        updateServer(service, address, { reportedOthersLoad: server.slots + 1, reportedAtMs: draft.atMs });
    }
};

const discardResponse = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    attempt: AttemptState,
): RequestState => {
    draft.emit({ type: "cancel-attempt", attemptId: attempt.attemptId, reason: "response-discarded" });
    return detachAttempt(service, request, attempt);
};

const relayResponse = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    attempt: AttemptState,
): void => {
    const remaining = cancelAttempts(draft, service, request, { reason: "hedge-lost", except: attempt.attemptId });
    removeInFlight(service, request.requestId);
    draft.setRequest({ ...remaining, phase: "relaying", hedgeAtMs: undefined, cancellationDeadlineAtMs: undefined });
    draft.emit({ type: "relay-attempt", requestId: request.requestId, attemptId: attempt.attemptId });
};

/** Handles response headers: updates the backend server, then relays the response or discards it and retries. */
export const onAttemptResponded = (draft: RoutingDraft, event: AttemptResponded): void => {
    const found = findAttempt(draft, event.attemptId);
    if (found === undefined || found.request.phase === "relaying") {
        return;
    }
    const { service, request, attempt } = found;
    updateServerFromResponse(draft, service, attempt, event);
    if (event.notRun) {
        const remaining = discardResponse(draft, service, request, attempt);
        draft.setRequest(remaining);
        if (remaining.attempts.length === 0 && !retryRequest(draft, service, remaining, { reselection: false })) {
            rejectRequest(draft, service, remaining, {
                outcome: remaining.mayHaveRun ? "unknown" : "not-run",
                statusCode: remaining.deadlineAtMs <= draft.atMs ? 504 : 503,
                reasonCode: remaining.callerGone ? REASON_CODES.callerGone : REASON_CODES.shed,
                retryAfterMs: ROUTING_LIMITS.retryAfterMs,
                counted: !remaining.callerGone,
            });
        }
    }
    else if (FAILURE_STATUS_CODES.includes(event.statusCode)) {
        recordServerFailure(draft, service, attempt.address);
        const otherInFlight = request.attempts.length > 1;
        const repeatable = request.classTargets.repeatable;
        if (otherInFlight) {
            draft.setRequest({ ...discardResponse(draft, service, request, attempt), mayHaveRun: true });
        }
        else {
            const withoutAttempt = { ...request, attempts: [], mayHaveRun: true };
            if (repeatable && retryRequest(draft, service, withoutAttempt, { reselection: false })) {
                discardResponse(draft, service, request, attempt);
            }
            else {
                relayResponse(draft, service, request, attempt);
            }
        }
    }
    else {
        const latencyMs = draft.atMs - attempt.startedAtMs;
        recordServerSuccess(draft, service, attempt.address);
        recordServerLatency(service, attempt.address, {
            atMs: draft.atMs,
            latencyMs,
            predictedLoad: attempt.predictedLoad,
        });
        recordAttemptLatency(service, request.classTargets.name, { atMs: draft.atMs, latencyMs });
        relayResponse(draft, service, request, attempt);
    }
    dispatchQueue(draft, service);
};
