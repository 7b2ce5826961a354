import { completeResponse } from "./complete-response.js";
import { dropRequest } from "./drop-request.js";
import { failInput } from "./fail-input.js";
import { forwardRequests } from "./forward-requests.js";
import type { PipelineEvent } from "./pipeline-event.js";
import type { PipelineState } from "./pipeline-state.js";
import type { PipelineTransition } from "./pipeline-transition.js";
import { setRequest } from "./set-request.js";
import { startRequest } from "./start-request.js";
import { writeNextResponse } from "./write-next-response.js";

interface ReducePipelineOptions {
    /** Whether the process has received SIGTERM. */
    readonly isStopping: boolean;
}

const readRequest = (
    state: PipelineState,
    requestKey: string,
    opts: ReducePipelineOptions,
): PipelineTransition => {
    const request = state.requests.find(each => each.requestKey === requestKey);
    if (request?.phase !== "receiving") {
        return { state, effects: [] };
    }
    return forwardRequests(setRequest(state, requestKey, { phase: "held" }), opts);
};

const removeResponse = (
    state: PipelineState,
    requestKey: string,
    opts: ReducePipelineOptions,
): PipelineTransition =>
    writeNextResponse({
        ...state,
        requests: state.requests.filter(request => request.requestKey !== requestKey),
    }, opts);

/** Applies an event on a caller's connection. */
export const reducePipeline = (
    state: PipelineState,
    event: PipelineEvent,
    opts: ReducePipelineOptions,
): PipelineTransition => {
    switch (event.type) {
        case "request-started":
            return startRequest(state, event, opts);
        case "request-read":
            return readRequest(state, event.requestKey, opts);
        case "request-forwarded":
            return forwardRequests(
                setRequest(state, event.requestKey, { isReplaceable: event.isIdempotent }),
                opts,
            );
        case "response-ready":
            return completeResponse(state, event, opts);
        case "response-written":
            return removeResponse(state, event.requestKey, opts);
        case "input-failed":
            return failInput(state, event, opts);
        case "connection-closing":
            return { state: { ...state, isClosing: true }, effects: [] };
        case "connection-closed":
            return {
                state: { requests: [], isClosing: true, errorStatusCode: undefined },
                effects: state.requests.map(dropRequest),
            };
    }
};
