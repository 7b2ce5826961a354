import type { AttemptFailure } from "./attempt-failure.js";
import { detachAttempt } from "./detach-attempt.js";
import { dispatchQueue } from "./dispatch-queue.js";
import { findAttempt } from "./find-attempt.js";
import { findServer } from "./find-server.js";
import { isLeaving } from "./is-leaving.js";
import type { Mutable } from "./mutable.js";
import { REASON_CODES } from "./reason-codes.js";
import { recordClassEvent } from "./record-class-event.js";
import { recordServerFailure } from "./record-server-failure.js";
import { rejectRequest } from "./reject-request.js";
import { removeServer } from "./remove-server.js";
import type { RequestState } from "./request-state.js";
import { retryRequest } from "./retry-request.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

interface FailureRule {
    /** No byte of the request was sent. */
    readonly noBytesSent: boolean;
    /** The failure proves that the request did not run in this attempt. */
    readonly provesNotRun: boolean;
    readonly countsAgainstServer: boolean;
    readonly statusCode: number;
    readonly reasonCode: string;
}

const FAILURE_RULES: Readonly<Record<AttemptFailure, FailureRule>> = {
    "connect-failed": {
        noBytesSent: true,
        provesNotRun: true,
        countsAgainstServer: true,
        statusCode: 503,
        reasonCode: REASON_CODES.connectFailed,
    },
    "connection-stale": {
        noBytesSent: true,
        provesNotRun: true,
        countsAgainstServer: false,
        statusCode: 503,
        reasonCode: REASON_CODES.connectFailed,
    },
    "cancel-confirmed": {
        noBytesSent: false,
        provesNotRun: true,
        countsAgainstServer: false,
        statusCode: 503,
        reasonCode: REASON_CODES.cancelled,
    },
    "reset": {
        noBytesSent: false,
        provesNotRun: false,
        countsAgainstServer: true,
        statusCode: 502,
        reasonCode: REASON_CODES.reset,
    },
    "silent": {
        noBytesSent: false,
        provesNotRun: false,
        countsAgainstServer: true,
        statusCode: 504,
        reasonCode: REASON_CODES.silent,
    },
    "body-cut": {
        noBytesSent: false,
        provesNotRun: false,
        countsAgainstServer: true,
        statusCode: 502,
        reasonCode: REASON_CODES.bodyCut,
    },
};

const updateServerAfterFailure = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    address: string,
    failure: AttemptFailure,
): void => {
    const server = findServer(service, address);
    if (server === undefined) {
        return;
    }
    if (failure === "connect-failed" && server.absentSinceListMs !== undefined && !isLeaving(server)) {
        removeServer(draft, service, address);
        return;
    }
    if (FAILURE_RULES[failure].countsAgainstServer) {
        recordServerFailure(draft, service, address);
    }
    if (failure === "silent") {
        updateServer(service, address, { suspectUntilMs: draft.atMs + ROUTING_LIMITS.suspectDurationMs });
        if (server.instanceId !== undefined) {
            draft.emit({
                type: "publish-evidence",
                evidence: {
                    service: service.name,
                    address,
                    instanceId: server.instanceId,
                    kind: "silent",
                    observedBy: draft.base.vmId,
                },
            });
        }
    }
};

const retryOrReject = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    request: RequestState,
    rule: FailureRule,
): void => {
    const mayRepeat = rule.provesNotRun || request.classTargets.repeatable;
    if (mayRepeat && retryRequest(draft, service, request, { reselection: rule.noBytesSent })) {
        return;
    }
    const overdue = request.cancellationDeadlineAtMs !== undefined || request.deadlineAtMs <= draft.atMs;
    const outcome = request.mayHaveRun ? "unknown" : "not-run";
    rejectRequest(draft, service, request, {
        outcome,
        statusCode: overdue ? 504 : rule.statusCode,
        reasonCode: request.callerGone
            ? REASON_CODES.callerGone
            : overdue
            ? REASON_CODES.deadlineInFlight
            : rule.reasonCode,
        retryAfterMs: outcome === "not-run" ? ROUTING_LIMITS.retryAfterMs : undefined,
        counted: !request.callerGone,
    });
};

/** Handles an attempt that ended without a complete response. */
export const onAttemptFailed = (draft: RoutingDraft, attemptId: string, failure: AttemptFailure): void => {
    const found = findAttempt(draft, attemptId);
    if (found === undefined) {
        return;
    }
    const { service, request, attempt } = found;
    const rule = FAILURE_RULES[failure];
    const detached = detachAttempt(service, request, attempt);
    const remaining = { ...detached, mayHaveRun: detached.mayHaveRun || !rule.provesNotRun };
    updateServerAfterFailure(draft, service, attempt.address, failure);
    if (request.phase === "relaying") {
        draft.removeRequest(request.requestId);
        recordClassEvent(service, request.classTargets.name, { atMs: draft.atMs, count: "unknown" });
        draft.emit({ type: "finish-request", requestId: request.requestId, outcome: "unknown" });
    }
    else {
        draft.setRequest(remaining);
        if (remaining.attempts.length === 0) {
            retryOrReject(draft, service, remaining, rule);
        }
    }
    dispatchQueue(draft, service);
};
