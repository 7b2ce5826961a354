import type { Transition } from "@marigoldstall/core.types";
import type { RoutingEffect } from "./routing-effect.js";
import type { RoutingEvent } from "./routing-event.js";
import type { RoutingState } from "./routing-state.js";

/** Reduces one event of the routing slice. */
export const reduceRouting = (
    state: RoutingState,
    event: RoutingEvent,
): Transition<RoutingState, RoutingEffect> => {
    void event;
    return { state, effects: [] };
};
