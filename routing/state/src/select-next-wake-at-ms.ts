import type { RoutingState } from "./routing-state.js";

/** Returns when the next `tick` is due; undefined when none is needed. */
export const selectNextWakeAtMs = (state: RoutingState): number | undefined =>
    state.wakeAtMs === Infinity ? undefined : state.wakeAtMs;
