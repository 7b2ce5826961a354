import { dropRequest } from "./drop-request.js";
import type { PipelineState } from "./pipeline-state.js";
import type { PipelineTransition } from "./pipeline-transition.js";
import type { PipelinedRequest } from "./pipelined-request.js";
import { setRequest } from "./set-request.js";

// The response to a non-idempotent request has to be relayed even if it closes the connection, which would cut off the
// responses behind it. RFC 9112, section 9.3.2, asks callers not to send requests behind such a one.
const blocksFollowers = (request: PipelinedRequest): boolean =>
    request.phase === "receiving" || (request.phase === "forwarded" && !request.isReplaceable);

/**
 * Passes on the first request that was read completely, unless a request before it may yet close the connection. The
 * next one follows once it is known whether the first is idempotent.
 */
export const forwardRequests = (
    state: PipelineState,
    opts: { readonly isStopping: boolean; },
): PipelineTransition => {
    const index = state.requests.findIndex(request => request.phase === "held" || blocksFollowers(request));
    const request = state.requests[index];
    if (request?.phase !== "held") {
        return { state, effects: [] };
    }
    const { requestKey } = request;
    const earlier = state.requests.slice(0, index);
    if (opts.isStopping && earlier.some(({ phase }) => phase !== "writing")) {
        return {
            state: { requests: earlier, isClosing: true, errorStatusCode: undefined },
            effects: state.requests.slice(index).map(dropRequest),
        };
    }
    return {
        state: setRequest(state, requestKey, { phase: "forwarded" }),
        effects: [{ type: "forward-request", requestKey }],
    };
};
