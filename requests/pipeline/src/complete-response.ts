import type { PipelineEffect } from "./pipeline-effect.js";
import type { PipelineEvent } from "./pipeline-event.js";
import type { PipelineState } from "./pipeline-state.js";
import type { PipelineTransition } from "./pipeline-transition.js";
import type { PipelinedRequest } from "./pipelined-request.js";
import { writeNextResponse } from "./write-next-response.js";

type ResponseReady = Extract<PipelineEvent, { readonly type: "response-ready"; }>;

// A server may be running a request that was passed on.
const dropRequest = ({ requestKey, phase }: PipelinedRequest): PipelineEffect => ({
    type: phase === "receiving" ? "ignore-request" : "abandon-request",
    requestKey,
});

/** Takes a response that is ready. The requests behind a last response are dropped. */
export const completeResponse = (
    state: PipelineState,
    event: ResponseReady,
    opts: { readonly isStopping: boolean; },
): PipelineTransition => {
    const { requestKey } = event;
    const index = state.requests.findIndex(request => request.requestKey === requestKey);
    const request = state.requests[index];
    if (request === undefined || request.phase === "answered" || request.phase === "writing") {
        return { state, effects: [] };
    }
    const isLastResponse = request.isLastResponse || event.isLastResponse;
    const answered = { ...request, phase: "answered", isLastResponse } as const;
    const followers = state.requests.slice(index + 1);
    const next = writeNextResponse({
        requests: [...state.requests.slice(0, index), answered, ...isLastResponse ? [] : followers],
        isClosing: state.isClosing || isLastResponse,
    }, opts);
    return { state: next.state, effects: [...isLastResponse ? followers.map(dropRequest) : [], ...next.effects] };
};
