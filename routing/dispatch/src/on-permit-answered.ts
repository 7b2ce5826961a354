import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { endAttempt } from "./end-attempt.js";
import type { RequestState } from "./request-state.js";
import { resumeRequest } from "./resume-request.js";
import { selectAttempt } from "./select-attempt.js";
import { selectColdLimit } from "./select-cold-limit.js";
import { selectPermitRate } from "./select-permit-rate.js";

const delayPermitQueries = (draft: DispatchDraft, instanceId: string, retryAfterMs: number): void => {
    const minMs = DISPATCH_LIMITS.minPermitRetryPerVmMs * draft.state.vmCount;
    const delayMs = Math.min(DISPATCH_LIMITS.maxPermitRetryMs, Math.max(minMs, retryAfterMs));
    const jitter = 1 + draft.nextRandom() * DISPATCH_LIMITS.permitRetryJitterShare;
    const server = draft.server(instanceId);
    // Once the server is warm, its requests need no permit.
    const untilMs = server !== undefined && server.requestLimit.perSecond === undefined
            && selectColdLimit(draft.state, server, draft.atMs) !== undefined
        ? server.coldUntilMs
        : Infinity;
    draft.updateServer(instanceId, { noPermitUntilMs: Math.min(untilMs, draft.atMs + delayMs * jitter) });
};

const logRefusal = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    readonly reason: string;
    readonly retryAfterMs: number;
}): void => {
    const { attempt, reason, retryAfterMs } = opts;
    const server = draft.server(attempt.instanceId);
    draft.log({
        kind: "permit-refused",
        requestId: request.requestId,
        service: request.service,
        instanceId: attempt.instanceId,
        reason,
        inputs: {
            attempt: attempt.attemptId,
            limitPerSecond: (server && selectPermitRate(draft.state, server, draft.atMs)) ?? -1,
            retryAfterMs: Math.round(retryAfterMs),
            attemptMs: Math.round(draft.atMs - attempt.startedAtMs),
        },
    });
};

/**
 * Handles the answer to a permit query: sends the request, or leaves its server alone for a while. An answer that comes too
 * late is worth nothing, as the permit may have been for a time that has passed.
 */
export const onPermitAnswered = (
    draft: DispatchDraft,
    event: Omit<Extract<DispatchEvent, { readonly type: "permit-answered"; }>, "atMs" | "random" | "type">,
): void => {
    const found = selectAttempt(draft.state, event.attemptId);
    if (found?.attempt.phase !== "awaiting-permit" || found.attempt.instanceId !== event.instanceId) {
        return;
    }
    const { attempt } = found;
    const isInTime = draft.atMs - attempt.startedAtMs <= DISPATCH_LIMITS.permitTimeoutMs;
    const hasPermit = event.isGranted && isInTime;
    const request = endAttempt(draft, found.request, attempt);
    if (!hasPermit) {
        const { retryAfterMs } = event;
        delayPermitQueries(draft, attempt.instanceId, retryAfterMs);
        logRefusal(draft, request, { attempt, reason: isInTime ? "limit" : "no-answer", retryAfterMs });
    }
    resumeRequest(draft, request, { attempt, hasPermit });
};
