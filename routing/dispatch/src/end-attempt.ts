import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { RequestState } from "./request-state.js";

/** Takes an attempt that is over off its request and its server. */
export const endAttempt = (draft: DispatchDraft, request: RequestState, attempt: AttemptState): RequestState => {
    const server = draft.server(attempt.instanceId);
    if (server !== undefined) {
        draft.updateServer(attempt.instanceId, {
            ownInFlight: Math.max(0, server.ownInFlight - 1),
            // What is over before any report counted it must not be counted any more.
            sendings: server.sendings.filter(sentAtMs => sentAtMs !== attempt.startedAtMs),
        });
    }
    draft.setAttemptRequest(attempt.attemptId, undefined);
    const remaining = {
        ...request,
        attempts: request.attempts.filter(other => other.attemptId !== attempt.attemptId),
    };
    draft.setRequest(remaining);
    return remaining;
};
