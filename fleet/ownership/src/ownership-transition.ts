import type { Transition } from "@marigoldstall/core.types";
import type { OwnershipEffect } from "./ownership-effect.js";
import type { OwnershipState } from "./ownership-state.js";

/** State and effects that result from one step or event. */
export type OwnershipTransition = Transition<OwnershipState, OwnershipEffect>;
