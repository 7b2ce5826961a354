import type { AttemptState } from "./attempt-state.js";
import type { DispatchState } from "./dispatch-state.js";
import type { RequestState } from "./request-state.js";

interface FoundAttempt {
    readonly request: RequestState;
    readonly attempt: AttemptState;
}

/** Finds an attempt in progress and its request; undefined when the attempt has ended. */
export const selectAttempt = (state: DispatchState, attemptId: string): FoundAttempt | undefined => {
    const request = state.requests.get(state.requestKeysByAttempt.get(attemptId) ?? "");
    const attempt = request?.attempts.find(other => other.attemptId === attemptId);
    return request === undefined || attempt === undefined ? undefined : { request, attempt };
};
