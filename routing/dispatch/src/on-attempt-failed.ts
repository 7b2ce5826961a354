import { applyDirectives } from "./apply-directives.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { endAttempt } from "./end-attempt.js";
import { recordFailure } from "./record-failure.js";
import { recordHedgeResult } from "./record-hedge-result.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import { selectAttempt } from "./select-attempt.js";
import { trackBrokenAttempt } from "./track-broken-attempt.js";
import { tryRetry } from "./try-retry.js";

type AttemptFailed = Extract<DispatchEvent, { readonly type: "attempt-failed"; }>;

/** Handles an attempt that ended without a complete response: retries or rejects the request. */
export const onAttemptFailed = (draft: DispatchDraft, event: AttemptFailed): void => {
    const found = selectAttempt(draft.state, event.attemptId);
    if (found === undefined) {
        return;
    }
    const { attempt } = found;
    applyDirectives(draft, attempt.instanceId, { directives: event.directives, isHealthCheck: false });
    recordFailure(draft, attempt.instanceId, { reason: event.reason, weight: 1 });
    draft.log({
        kind: "attempt-failed",
        requestId: found.request.requestId,
        service: found.request.service,
        instanceId: attempt.instanceId,
        reason: event.reason,
        inputs: {
            attempt: attempt.attemptId,
            wasSent: event.failure === "lost",
            attemptMs: Math.round(draft.atMs - attempt.startedAtMs),
        },
    });
    if (event.isConnectionBroken === true) {
        trackBrokenAttempt(draft, found.request, attempt);
    }
    recordHedgeResult(draft, found.request, { attempt, result: "failed" });
    const ended = endAttempt(draft, found.request, attempt);
    const isUnsent = event.failure === "unsent";
    const request = isUnsent
        ? { ...ended, sentCount: ended.sentCount - 1, unsentCount: ended.unsentCount + 1 }
        : { ...ended, mayHaveRun: true };
    draft.setRequest(request);
    const mayRetry = isUnsent ? request.unsentCount <= DISPATCH_LIMITS.maxUnsentAttempts : request.route.isIdempotent;
    if (request.attempts.length === 0 && !(mayRetry && tryRetry(draft, request))) {
        rejectRequest(draft, request, { reason: isUnsent ? REJECT_REASONS.unreachable : REJECT_REASONS.lost });
    }
    drainQueue(draft, request.service);
};
