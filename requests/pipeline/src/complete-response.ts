import { dropRequest } from "./drop-request.js";
import { forwardRequests } from "./forward-requests.js";
import type { PipelineEvent } from "./pipeline-event.js";
import type { PipelineState } from "./pipeline-state.js";
import type { PipelineTransition } from "./pipeline-transition.js";
import { writeNextResponse } from "./write-next-response.js";

type ResponseReady = Extract<PipelineEvent, { readonly type: "response-ready"; }>;

/** Takes a response that is ready. The requests behind a last response are dropped, others may be passed on now. */
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
    const forwarded = forwardRequests({
        requests: [...state.requests.slice(0, index), answered, ...isLastResponse ? [] : followers],
        isClosing: state.isClosing || isLastResponse,
        errorStatusCode: isLastResponse ? undefined : state.errorStatusCode,
    }, opts);
    const written = writeNextResponse(forwarded.state, opts);
    return {
        state: written.state,
        effects: [...isLastResponse ? followers.map(dropRequest) : [], ...forwarded.effects, ...written.effects],
    };
};
