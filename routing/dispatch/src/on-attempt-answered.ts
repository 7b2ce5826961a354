import { applyDirectives } from "./apply-directives.js";
import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { drainQueue } from "./drain-queue.js";
import { endAttempt } from "./end-attempt.js";
import { promisesNotRun } from "./promises-not-run.js";
import { recordCompletion } from "./record-completion.js";
import { recordDuration } from "./record-duration.js";
import { recordFailure } from "./record-failure.js";
import { recordHedgeResult } from "./record-hedge-result.js";
import { recordLoad } from "./record-load.js";
import { recordSilentAttempts } from "./record-silent-attempts.js";
import { recordSuccess } from "./record-success.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { selectAttempt } from "./select-attempt.js";
import { selectBackoffMs } from "./select-backoff-ms.js";
import { tryRetry } from "./try-retry.js";
import { updateWorkEstimates } from "./update-work-estimates.js";

type AttemptAnswered = Extract<DispatchEvent, { readonly type: "attempt-answered"; }>;

const MIN_SERVER_ERROR_STATUS = 500;
const SHED_FAILURE_WEIGHT = 0.3;

// The server had the request, and only `notRun` says that it did not run it. A caller would send a request that must not run
// twice again after a status that promises so, and the server may have run it.
const hasFalsePromise = (request: RequestState, event: AttemptAnswered): boolean =>
    !request.route.isIdempotent && !event.notRun && promisesNotRun(event.statusCode);

const relayResponse = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly attempt: AttemptState; readonly event: AttemptAnswered; },
): void => {
    const { attempt, event } = opts;
    if (hasFalsePromise(request, event)) {
        draft.emit({ type: "discard-response", attemptId: attempt.attemptId });
        rejectRequest(draft, { ...request, mayHaveRun: true }, {
            reason: REJECT_REASONS.falsePromise,
            inputs: { attempt: attempt.attemptId, instanceId: attempt.instanceId, serverStatusCode: event.statusCode },
        });
        return;
    }
    recordSilentAttempts(draft, request);
    for (const other of request.attempts) {
        if (other.phase === "sent" && !other.isHedge) {
            recordDuration(draft, request, { attempt: other, isCancelled: true });
        }
        recordHedgeResult(draft, request, { attempt: other, result: "lost" });
        endAttempt(draft, request, other);
        draft.emit({ type: "cancel-attempt", attemptId: other.attemptId });
    }
    draft.removeRequest(request);
    if (request.callerLeft) {
        draft.emit({ type: "discard-response", attemptId: attempt.attemptId });
    }
    else {
        draft.emit({ type: "relay-response", requestKey: request.requestKey, attemptId: attempt.attemptId });
    }
    draft.log({
        kind: "answer",
        requestId: request.requestId,
        service: request.service,
        instanceId: attempt.instanceId,
        inputs: {
            attempt: attempt.attemptId,
            statusCode: event.statusCode,
            attemptMs: Math.round(draft.atMs - attempt.startedAtMs),
            expectedMs: Math.round(attempt.expectedMs),
            slowChance: Math.round(attempt.slowChance * 100) / 100,
            totalMs: Math.round(draft.atMs - request.arrivedAtMs),
            onTime: draft.atMs <= request.targetAtMs,
            sent: request.sentCount,
            bytes: event.bodyBytes,
        },
    });
};

const recordResponse = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly attempt: AttemptState; readonly event: AttemptAnswered; },
): void => {
    const { attempt, event } = opts;
    applyDirectives(draft, attempt.instanceId, { directives: event.directives, isHealthCheck: false });
    if (event.load !== undefined) {
        recordLoad(draft, attempt.instanceId, { load: event.load, measuredAtMs: draft.atMs });
    }
    if (!event.notRun) {
        recordCompletion(draft, request.fingerprint);
    }
    if (event.notRun) {
        recordFailure(draft, attempt.instanceId, { reason: "shed", weight: SHED_FAILURE_WEIGHT });
    }
    else if (event.statusCode >= MIN_SERVER_ERROR_STATUS) {
        recordFailure(draft, attempt.instanceId, { reason: `status-${event.statusCode}`, weight: 1 });
    }
    else {
        recordSuccess(draft, attempt.instanceId);
        recordDuration(draft, request, { attempt, isCancelled: false });
        updateWorkEstimates(draft, request, { attempt, bodyBytes: event.bodyBytes });
    }
};

// One request that is sent again, or fails, costs less than the loss of all later ones of its connection.
const resendOrReject = (draft: DispatchDraft, request: RequestState, attempt: AttemptState): void => {
    draft.setRequest(request);
    draft.emit({ type: "discard-response", attemptId: attempt.attemptId });
    draft.log({
        kind: "attempt-failed",
        requestId: request.requestId,
        service: request.service,
        instanceId: attempt.instanceId,
        reason: REJECT_REASONS.cutsOthers,
        inputs: {
            attempt: attempt.attemptId,
            wasSent: true,
            attemptMs: Math.round(draft.atMs - attempt.startedAtMs),
        },
    });
    if (request.attempts.length === 0 && !tryRetry(draft, request)) {
        rejectRequest(draft, request, { reason: REJECT_REASONS.cutsOthers });
    }
};

/** Handles a complete response: relays it, or retries the request on another server where that is allowed. */
export const onAttemptAnswered = (draft: DispatchDraft, event: AttemptAnswered): void => {
    const found = selectAttempt(draft.state, event.attemptId);
    if (found === undefined) {
        draft.emit({ type: "discard-response", attemptId: event.attemptId });
        return;
    }
    const { attempt } = found;
    recordResponse(draft, found.request, { attempt, event });
    const request = endAttempt(draft, draft.request(found.request.requestKey) ?? found.request, attempt);
    const isServerError = event.statusCode >= MIN_SERVER_ERROR_STATUS;
    const cutsOtherRequests = event.cutsOtherRequests && request.route.isIdempotent;
    const isUsable = !event.notRun && !isServerError && !cutsOtherRequests;
    recordHedgeResult(draft, request, { attempt, result: isUsable ? "won" : "failed" });
    if (cutsOtherRequests && !event.notRun) {
        resendOrReject(draft, { ...request, mayHaveRun: true }, attempt);
    }
    else if (!event.notRun && !isServerError) {
        relayResponse(draft, request, { attempt, event });
    }
    else {
        const updated = event.notRun ? request : { ...request, mayHaveRun: true };
        draft.setRequest(updated);
        const mayRetry = event.notRun || request.route.isIdempotent;
        if (updated.attempts.length > 0 || (mayRetry && tryRetry(draft, updated))) {
            draft.emit({ type: "discard-response", attemptId: event.attemptId });
        }
        else if (event.notRun) {
            draft.emit({ type: "discard-response", attemptId: event.attemptId });
            const waitMs = selectBackoffMs(draft.service(updated.service), draft);
            rejectRequest(draft, updated, { reason: REJECT_REASONS.shed, waitMs });
        }
        else {
            relayResponse(draft, updated, { attempt, event });
        }
    }
    drainQueue(draft, request.service);
};
