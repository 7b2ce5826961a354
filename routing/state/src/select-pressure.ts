import type { Pressure } from "@marigoldstall/core.types";
import type { RoutingState } from "./routing-state.js";

/** Returns the pressure that this daemon reports in heartbeats: the services whose level is above 0. */
export const selectPressure = (state: RoutingState): readonly Pressure[] =>
    state.services
        .filter(service => service.pressureLevel > 0)
        .map(service => ({ service: service.name, level: service.pressureLevel }));
