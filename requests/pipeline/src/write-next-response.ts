import type { PipelineState } from "./pipeline-state.js";
import type { PipelineTransition } from "./pipeline-transition.js";
import { setRequest } from "./set-request.js";

/**
 * Writes the first response if it is ready, or an error once no response is due before it. Whether the connection closes
 * after a response is decided only then, so that its headers are right whatever happened while it waited for its turn.
 */
export const writeNextResponse = (
    state: PipelineState,
    opts: { readonly isStopping: boolean; },
): PipelineTransition => {
    const [first, ...others] = state.requests;
    if (first === undefined && state.errorStatusCode !== undefined) {
        return {
            state: { ...state, errorStatusCode: undefined },
            effects: [{ type: "write-error", statusCode: state.errorStatusCode }],
        };
    }
    if (first?.phase !== "answered") {
        return { state, effects: [] };
    }
    const { requestKey } = first;
    const isLastOutput = others.length === 0 && state.errorStatusCode === undefined;
    const isLastResponse = first.isLastResponse || (isLastOutput && (state.isClosing || opts.isStopping));
    return {
        state: { ...setRequest(state, requestKey, { phase: "writing" }), isClosing: state.isClosing || isLastResponse },
        effects: [{ type: "write-response", requestKey, isLastResponse }],
    };
};
