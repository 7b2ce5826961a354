import type { BackendServerState } from "./backend-server-state.js";
import type { ServiceState } from "./service-state.js";

// A straggler gets few requests, which would hide its recovery, so its average decays towards the median.
const DECAY_MS = 10_000;

/** Returns the latency of a backend server divided by the median of its service. */
export const estimateRelativeLatency = (service: ServiceState, server: BackendServerState, atMs: number): number => {
    if (server.latencyMs === undefined || service.medianLatencyMs === undefined || service.medianLatencyMs <= 0) {
        return 1;
    }
    const ratio = server.latencyMs / service.medianLatencyMs;
    return 1 + (ratio - 1) * Math.exp(-Math.max(0, atMs - server.latencyAtMs) / DECAY_MS);
};
