import type { Transition } from "@marigoldstall/core.types";
import type { OwnershipEffect } from "./ownership-effect.js";
import type { OwnershipState } from "./ownership-state.js";

/** Result of one step of the ownership slice. */
export type OwnershipTransition = Transition<OwnershipState, OwnershipEffect>;
