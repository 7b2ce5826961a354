import type { PipelineEffect } from "./pipeline-effect.js";
import type { PipelinedRequest } from "./pipelined-request.js";

/** Ends a request without a response. One that was passed on may run at a server. */
export const dropRequest = ({ requestKey, phase }: PipelinedRequest): PipelineEffect => ({
    type: phase === "receiving" || phase === "held" ? "ignore-request" : "abandon-request",
    requestKey,
});
