import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { RequestState } from "./request-state.js";

/** Removes an ended attempt from its request and its server. */
export const endAttempt = (draft: DispatchDraft, request: RequestState, attempt: AttemptState): RequestState => {
    const server = draft.server(attempt.instanceId);
    if (server !== undefined) {
        draft.updateServer(attempt.instanceId, {
            ownInFlight: Math.max(0, server.ownInFlight - 1),
            // An attempt that ended before any report counted it no longer occupies a slot.
            unreportedSends: server.unreportedSends.filter(send =>
                send.vmId !== undefined || send.sentAtMs !== attempt.startedAtMs
            ),
        });
    }
    draft.setRequestOfAttempt(attempt.attemptId, undefined);
    const remaining = {
        ...request,
        attempts: request.attempts.filter(other => other.attemptId !== attempt.attemptId),
    };
    draft.setRequest(remaining);
    return remaining;
};
