import type { PipelineEvent } from "./pipeline-event.js";
import type { PipelineState } from "./pipeline-state.js";
import type { PipelineTransition } from "./pipeline-transition.js";

type RequestStarted = Extract<PipelineEvent, { readonly type: "request-started"; }>;

/**
 * Accepts a request, or ignores it if an earlier response can still announce the end of the connection. That is not
 * possible any more once the earlier response is being written.
 */
export const startRequest = (
    state: PipelineState,
    event: RequestStarted,
    opts: { readonly isStopping: boolean; },
): PipelineTransition => {
    const { requestKey, isLastRequest } = event;
    const canCloseBefore = state.requests.some(({ phase }) => phase !== "writing");
    if (state.isClosing || (opts.isStopping && canCloseBefore)) {
        return { state: { ...state, isClosing: true }, effects: [{ type: "ignore-request", requestKey }] };
    }
    const request = { requestKey, phase: "receiving", isReplaceable: false, isLastResponse: isLastRequest } as const;
    return { state: { ...state, requests: [...state.requests, request], isClosing: isLastRequest }, effects: [] };
};
