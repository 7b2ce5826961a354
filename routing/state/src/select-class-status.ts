import type { ClassStatus } from "./class-status.js";
import type { RoutingState } from "./routing-state.js";

/** Status of every class over the last 10 s. */
export const selectClassStatus = (state: RoutingState, atMs: number): readonly ClassStatus[] => {
    void state;
    void atMs;
    return [];
};
