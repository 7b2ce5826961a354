import type { PipelineEvent } from "./pipeline-event.js";
import type { PipelineState } from "./pipeline-state.js";
import type { PipelineTransition } from "./pipeline-transition.js";
import { writeNextResponse } from "./write-next-response.js";

type InputFailed = Extract<PipelineEvent, { readonly type: "input-failed"; }>;

/**
 * Ends the input of the connection. The request that was being received is rejected; all others get their own responses
 * first. What comes behind the last request is ignored.
 */
export const failInput = (
    state: PipelineState,
    event: InputFailed,
    opts: { readonly isStopping: boolean; },
): PipelineTransition => {
    const { requestKey, statusCode } = event;
    const partial = state.requests.find(request => request.requestKey === requestKey);
    if (partial?.phase === "receiving") {
        return {
            state: { ...state, isClosing: true },
            effects: [{ type: "reject-request", requestKey: partial.requestKey, statusCode }],
        };
    }
    if (state.isClosing) {
        return { state, effects: [] };
    }
    return writeNextResponse({ ...state, isClosing: true, errorStatusCode: statusCode }, opts);
};
