import type { Transition } from "@marigoldstall/core.types";
import type { OwnershipEffect } from "./ownership-effect.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";

/** Reducer of the ownership slice. */
export const reduceOwnership = (
    state: OwnershipState,
    event: OwnershipEvent,
): Transition<OwnershipState, OwnershipEffect> => {
    switch (event.type) {
        default:
            return { state, effects: [] };
    }
};
