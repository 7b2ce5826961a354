import type { BackendServerStatus } from "./backend-server-status.js";
import type { RoutingState } from "./routing-state.js";

/** Status of every backend server. */
export const selectBackendServers = (state: RoutingState, atMs: number): readonly BackendServerStatus[] => {
    void state;
    void atMs;
    return [];
};
