import type { DispatchDraft } from "./dispatch-draft.js";
import { isSilentAttempt } from "./is-silent-attempt.js";
import { recordFailure } from "./record-failure.js";
import type { RequestState } from "./request-state.js";

const REASON = "silent";

/** Counts a failure of each server that dropped a request, when the request ends without the server's answer. */
export const recordSilentAttempts = (draft: DispatchDraft, request: RequestState): void => {
    const { atMs } = draft;
    for (const attempt of request.attempts) {
        const { attemptId, instanceId, startedAtMs } = attempt;
        if (!isSilentAttempt(attempt, { server: draft.server(instanceId), atMs })) {
            continue;
        }
        recordFailure(draft, instanceId, { reason: REASON, weight: 1 });
        draft.log({
            kind: "attempt-failed",
            requestId: request.requestId,
            service: request.service,
            instanceId,
            reason: REASON,
            inputs: { attempt: attemptId, wasSent: true, attemptMs: Math.round(atMs - startedAtMs) },
        });
    }
};
