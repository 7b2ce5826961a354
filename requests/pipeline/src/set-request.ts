import type { PipelineState } from "./pipeline-state.js";
import type { PipelinedRequest } from "./pipelined-request.js";

/** Replaces fields of a request. */
export const setRequest = (
    state: PipelineState,
    requestKey: string,
    fields: Partial<PipelinedRequest>,
): PipelineState => ({
    ...state,
    requests: state.requests.map(request => request.requestKey === requestKey ? { ...request, ...fields } : request),
});
