import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { drainQueue } from "./drain-queue.js";
import { endAttempt } from "./end-attempt.js";
import { learnWork } from "./learn-work.js";
import { noteFailure } from "./note-failure.js";
import { noteLoad } from "./note-load.js";
import { noteSuccess } from "./note-success.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { selectAttempt } from "./select-attempt.js";
import { tryAgain } from "./try-again.js";

type AttemptAnswered = Extract<DispatchEvent, { readonly type: "attempt-answered"; }>;

const STATUS_FAILED = 500;
const SHED_WEIGHT = 0.3;

const relay = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly attempt: AttemptState; readonly event: AttemptAnswered; },
): void => {
    const { attempt, event } = opts;
    for (const other of request.attempts) {
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

const learn = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly attempt: AttemptState; readonly event: AttemptAnswered; },
): void => {
    const { attempt, event } = opts;
    if (event.load !== undefined) {
        noteLoad(draft, attempt.instanceId, { load: event.load, measuredAtMs: draft.atMs });
    }
    if (event.notRun) {
        noteFailure(draft, attempt.instanceId, { reason: "shed", weight: SHED_WEIGHT });
    }
    else if (event.statusCode >= STATUS_FAILED) {
        noteFailure(draft, attempt.instanceId, { reason: `status-${event.statusCode}`, weight: 1 });
    }
    else {
        noteSuccess(draft, attempt.instanceId);
        learnWork(draft, request, { attempt, bodyBytes: event.bodyBytes });
    }
};

/** A whole response arrived: relays it, or sends the request elsewhere where that may help and is allowed. */
export const onAttemptAnswered = (draft: DispatchDraft, event: AttemptAnswered): void => {
    const found = selectAttempt(draft.base, event.attemptId);
    if (found === undefined) {
        draft.emit({ type: "discard-response", attemptId: event.attemptId });
        return;
    }
    const { attempt } = found;
    learn(draft, found.request, { attempt, event });
    const request = endAttempt(draft, draft.request(found.request.requestKey) ?? found.request, attempt);
    const failed = event.statusCode >= STATUS_FAILED;
    if (!event.notRun && !failed) {
        relay(draft, request, { attempt, event });
    }
    else {
        const known = event.notRun ? request : { ...request, mayHaveRun: true };
        draft.setRequest(known);
        const mayRepeat = event.notRun || request.route.isIdempotent;
        if (known.attempts.length > 0 || (mayRepeat && tryAgain(draft, known))) {
            draft.emit({ type: "discard-response", attemptId: event.attemptId });
        }
        else if (event.notRun) {
            draft.emit({ type: "discard-response", attemptId: event.attemptId });
            rejectRequest(draft, known, { reason: REJECT_REASONS.shed });
        }
        else {
            relay(draft, known, { attempt, event });
        }
    }
    drainQueue(draft, request.service);
};
