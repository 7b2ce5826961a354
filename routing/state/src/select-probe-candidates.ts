import type { RoutingState } from "./routing-state.js";

/** Addresses of backend servers to probe, the one with the oldest information first. */
export const selectProbeCandidates = (state: RoutingState, atMs: number): readonly string[] => {
    void state;
    void atMs;
    return [];
};
