import type { BackendServerState } from "./backend-server-state.js";
import type { ServiceState } from "./service-state.js";

// A straggler gets little work and so shows little of its recovery: its average fades towards the median.
const FADE_MS = 10_000;

/** Latency of a backend server divided by the median of its service. */
export const estimateRelativeLatency = (service: ServiceState, server: BackendServerState, atMs: number): number => {
    if (server.latencyMs === undefined || service.medianLatencyMs === undefined || service.medianLatencyMs <= 0) {
        return 1;
    }
    const ratio = server.latencyMs / service.medianLatencyMs;
    return 1 + (ratio - 1) * Math.exp(-Math.max(0, atMs - server.latencyAtMs) / FADE_MS);
};
