export { createPipelineState } from "./create-pipeline-state.js";
export type { PipelineEffect } from "./pipeline-effect.js";
export type { PipelineEvent } from "./pipeline-event.js";
export type { PipelineState } from "./pipeline-state.js";
export type { PipelineTransition } from "./pipeline-transition.js";
export type { PipelinedRequest } from "./pipelined-request.js";
export { reducePipeline } from "./reduce-pipeline.js";
export type { RequestPhase } from "./request-phase.js";
