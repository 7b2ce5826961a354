import type { RoutingState } from "./routing-state.js";

/** When the next `tick` is due; undefined when nothing is waiting for one. */
export const selectNextWakeAtMs = (state: RoutingState): number | undefined =>
    state.wakeAtMs === Infinity ? undefined : state.wakeAtMs;
