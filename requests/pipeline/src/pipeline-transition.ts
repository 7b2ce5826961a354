import type { Transition } from "@marigoldstall/core.types";
import type { PipelineEffect } from "./pipeline-effect.js";
import type { PipelineState } from "./pipeline-state.js";

export type PipelineTransition = Transition<PipelineState, PipelineEffect>;
