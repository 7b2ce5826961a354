import type { PipelineState } from "./pipeline-state.js";
import type { PipelineTransition } from "./pipeline-transition.js";
import { setRequest } from "./set-request.js";

/**
 * Writes the first response if it is ready. Only then is it decided whether the connection closes after it, so that the
 * headers are right whatever happened while it waited for its turn.
 */
export const writeNextResponse = (
    state: PipelineState,
    opts: { readonly isStopping: boolean; },
): PipelineTransition => {
    const [first, ...others] = state.requests;
    if (first?.phase !== "answered") {
        return { state, effects: [] };
    }
    const { requestKey } = first;
    const isLastResponse = first.isLastResponse || (others.length === 0 && (state.isClosing || opts.isStopping));
    return {
        state: { ...setRequest(state, requestKey, { phase: "writing" }), isClosing: state.isClosing || isLastResponse },
        effects: [{ type: "write-response", requestKey, isLastResponse }],
    };
};
