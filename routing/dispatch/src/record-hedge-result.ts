import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { RequestState } from "./request-state.js";

/**
 * Logs how a hedge ended. `won`: its response was relayed. `lost`: the response of the other attempt was relayed.
 * `failed`: it ended without a usable response. `cancelled`: the request ended without the response of any server.
 */
export const recordHedgeResult = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    readonly result: "won" | "lost" | "failed" | "cancelled";
}): void => {
    const { attempt, result } = opts;
    if (draft.state.hedgeShare === 0 || !attempt.isHedge || attempt.phase !== "sent") {
        return;
    }
    draft.log({
        kind: "hedge-ended",
        requestId: request.requestId,
        service: request.service,
        instanceId: attempt.instanceId,
        reason: result,
        inputs: {
            attempt: attempt.attemptId,
            attemptMs: Math.round(draft.atMs - attempt.startedAtMs),
            expectedMs: Math.round(attempt.expectedMs),
        },
    });
};
