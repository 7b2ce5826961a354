import type { PipelineState } from "./pipeline-state.js";

/** Creates the state of a connection that has just been opened. */
export const createPipelineState = (): PipelineState => ({
    requests: [],
    isClosing: false,
    errorStatusCode: undefined,
});
