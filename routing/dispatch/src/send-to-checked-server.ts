import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { RequestState } from "./request-state.js";
import { sendAttempt } from "./send-attempt.js";
import type { ServerEstimate } from "./server-estimate.js";

/** Reserves the slot again, now that the load report counts the requests of other VMs, and sends the request. */
export const sendToCheckedServer = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    readonly estimate: ServerEstimate;
    readonly candidateCount: number;
}): void => {
    const attempt = { ...opts.attempt, startedAtMs: draft.atMs };
    const { attemptId, instanceId } = attempt;
    const restored = { ...request, attempts: [...request.attempts, attempt] };
    draft.setRequest(restored);
    draft.setRequestOfAttempt(attemptId, request.requestKey);
    const ownInFlight = draft.server(instanceId)?.ownInFlight ?? 0;
    draft.updateServer(instanceId, { ownInFlight: ownInFlight + 1 });
    sendAttempt(draft, restored, { ...opts, attempt });
};
