import type { AttemptState } from "./attempt-state.js";
import { cancelAttempts } from "./cancel-attempts.js";
import { detachAttempt } from "./detach-attempt.js";
import { dispatchQueue } from "./dispatch-queue.js";
import { findAttempt } from "./find-attempt.js";
import { findServer } from "./find-server.js";
import { leaveInFlight } from "./leave-in-flight.js";
import type { Mutable } from "./mutable.js";
import { noteFailure } from "./note-failure.js";
import { noteInstance } from "./note-instance.js";
import { noteLatency } from "./note-latency.js";
import { noteLeaving } from "./note-leaving.js";
import { noteLoad } from "./note-load.js";
import { noteSuccess } from "./note-success.js";
import { REASON_CODES } from "./reason-codes.js";
import { recordAttemptLatency } from "./record-attempt-latency.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { retryRequest } from "./retry-request.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { RoutingEvent } from "./routing-event.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

type AttemptResponded = Extract<RoutingEvent, { readonly type: "attempt-responded"; }>;

const FAILURE_STATUS_CODES: readonly number[] = [500, 502, 503, 504];

// Takes what a response tells about its backend server.
const learn = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    attempt: AttemptState,
    event: AttemptResponded,
): void => {
    const { address } = attempt;
    noteInstance(draft, service, address, event.instanceId);
    const server = findServer(service, address);
    const current = event.instanceId === undefined || server?.instanceId === event.instanceId;
    if (server === undefined || !current) {
        return;
    }
    if (event.load !== undefined) {
        noteLoad(service, address, {
            atMs: draft.atMs,
            load: event.load,
            ownInFlight: Math.max(0, server.ownInFlight - 1),
            source: event.notRun ? "refusal" : "response",
        });
    }
    else {
        updateServer(service, address, { informedAtMs: draft.atMs });
    }
    // Without an instance id the evidence counts until an instance shows itself.
    const instanceId = event.instanceId ?? server.instanceId ?? "";
    if (event.draining) {
        const news = noteLeaving(draft, service, address, { instanceId, observedBy: draft.base.vmId });
        if (news) {
            draft.emit({
                type: "publish-evidence",
                evidence: { service: service.name, address, instanceId, kind: "leaving", observedBy: draft.base.vmId },
            });
        }
    }
    else if (server.leavingDoubted && !event.notRun) {
        updateServer(service, address, { leavingDoubted: false, leavingInstanceIds: [] });
    }
    if (event.notRun && !event.draining && event.load === undefined) {
        // A backend server sheds when its slots and its queue are full.
        updateServer(service, address, { reportedOthers: server.slots + 1, reportedAtMs: draft.atMs });
    }
};

const discard = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    attempt: AttemptState,
): RequestState => {
    draft.emit({ type: "cancel-attempt", attemptId: attempt.attemptId, reason: "response-discarded" });
    return detachAttempt(service, request, attempt);
};

const relay = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    attempt: AttemptState,
): void => {
    const remaining = cancelAttempts(draft, service, request, { reason: "hedge-lost", except: attempt.attemptId });
    leaveInFlight(service, request.requestId);
    draft.setRequest({ ...remaining, phase: "relaying", hedgeAtMs: undefined, giveUpAtMs: undefined });
    draft.emit({ type: "relay-attempt", requestId: request.requestId, attemptId: attempt.attemptId });
};

/** Response headers arrived: learns from them, then relays the response or discards it and tries elsewhere. */
export const onAttemptResponded = (draft: RoutingDraft, event: AttemptResponded): void => {
    const found = findAttempt(draft, event.attemptId);
    if (found === undefined || found.request.phase === "relaying") {
        return;
    }
    const { service, request, attempt } = found;
    learn(draft, service, attempt, event);
    if (event.notRun) {
        const remaining = discard(draft, service, request, attempt);
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
        noteFailure(draft, service, attempt.address);
        const otherInFlight = request.attempts.length > 1;
        const repeatable = request.classTargets.repeatable;
        if (otherInFlight) {
            draft.setRequest({ ...discard(draft, service, request, attempt), mayHaveRun: true });
        }
        else {
            const withoutAttempt = { ...request, attempts: [], mayHaveRun: true };
            if (repeatable && retryRequest(draft, service, withoutAttempt, { reselection: false })) {
                discard(draft, service, request, attempt);
            }
            else {
                relay(draft, service, request, attempt);
            }
        }
    }
    else {
        const latencyMs = draft.atMs - attempt.startedAtMs;
        noteSuccess(draft, service, attempt.address);
        noteLatency(service, attempt.address, {
            atMs: draft.atMs,
            latencyMs,
            predictedLoad: attempt.predictedLoad,
        });
        recordAttemptLatency(service, request.classTargets.name, { atMs: draft.atMs, latencyMs });
        relay(draft, service, request, attempt);
    }
    dispatchQueue(draft, service);
};
