import type { PipelinedRequest } from "./pipelined-request.js";

/** State of a caller's connection. */
export interface PipelineState {
    /** In the order of their arrival, which is the order of their responses. */
    readonly requests: readonly PipelinedRequest[];
    /** Whether further requests are ignored. The connection closes after the response to the last accepted one. */
    readonly isClosing: boolean;
    /** Status with which input that is no request is answered, after the responses to all accepted requests. */
    readonly errorStatusCode: number | undefined;
}
