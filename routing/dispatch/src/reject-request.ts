import type { DecisionRecord } from "./decision-record.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { endAttempt } from "./end-attempt.js";
import { recordHedgeResult } from "./record-hedge-result.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import type { RequestState } from "./request-state.js";
import { selectRemainingMs } from "./select-remaining-ms.js";
import { selectRetryDelay } from "./select-retry-delay.js";

const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const STATUS_GATEWAY_TIMEOUT = 504;

/**
 * Ends a request without a response of a backend server. Only a request that has certainly not run gets a 503; one that
 * may have run gets a 502 or 504, which leave that open.
 */
export const rejectRequest = (
    draft: DispatchDraft,
    request: RequestState,
    opts: {
        readonly reason: string;
        readonly waitMs?: number;
        /** Status of a request that has certainly not run. Default: 503. */
        readonly notRunStatusCode?: number | undefined;
        /** Further values for the log. */
        readonly inputs?: DecisionRecord["inputs"];
    },
): void => {
    const { atMs } = draft;
    for (const attempt of request.attempts) {
        recordHedgeResult(draft, request, { attempt, result: "cancelled" });
        endAttempt(draft, request, attempt);
        draft.emit({ type: "cancel-attempt", attemptId: attempt.attemptId });
    }
    draft.removeRequest(request);
    const mayHaveRun = request.mayHaveRun || request.attempts.some(attempt => attempt.phase === "sent");
    const isOverdue = selectRemainingMs(request, atMs) <= 0;
    const statusCode = !mayHaveRun
        ? opts.notRunStatusCode ?? STATUS_UNAVAILABLE
        : isOverdue
        ? STATUS_GATEWAY_TIMEOUT
        : STATUS_BAD_GATEWAY;
    const { minMs, jitterMs } = selectRetryDelay(draft.service(request.service), {
        atMs,
        waitMs: opts.waitMs ?? 0,
        isShed: opts.reason === REJECT_REASONS.shed,
    });
    const spreadMs = minMs + draft.nextRandom() * jitterMs;
    const retryAfterMs = mayHaveRun ? undefined : Math.min(DISPATCH_LIMITS.maxRetryAfterMs, spreadMs);
    if (request.usesQuota === true && request.tenant !== undefined && !mayHaveRun) {
        draft.emit({
            type: "release-admission",
            tenantName: request.tenant.name,
            admittedAtMs: request.arrivedAtMs,
        });
    }
    if (!request.callerLeft) {
        draft.emit({
            type: "reject-request",
            requestKey: request.requestKey,
            statusCode,
            reason: opts.reason,
            retryAfterMs,
        });
    }
    draft.log({
        kind: "reject",
        requestId: request.requestId,
        service: request.service,
        reason: opts.reason,
        inputs: {
            statusCode,
            mayHaveRun,
            sent: request.sentCount,
            waitedMs: Math.round(atMs - request.arrivedAtMs),
            retryAfterMs: Math.round(retryAfterMs ?? 0),
            ...opts.inputs,
        },
    });
};
