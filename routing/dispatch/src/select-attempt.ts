import type { AttemptState } from "./attempt-state.js";
import type { DispatchState } from "./dispatch-state.js";
import type { RequestState } from "./request-state.js";

interface FoundAttempt {
    readonly request: RequestState;
    readonly attempt: AttemptState;
}

/** An attempt under way with its request; undefined when it is over. */
export const selectAttempt = (state: DispatchState, attemptId: string): FoundAttempt | undefined => {
    const request = state.requests.get(state.attemptRequests.get(attemptId) ?? "");
    const attempt = request?.attempts.find(other => other.attemptId === attemptId);
    return request === undefined || attempt === undefined ? undefined : { request, attempt };
};
