import type { BackendServerState } from "./backend-server-state.js";
import type { ServiceState } from "./service-state.js";

// Without any report for some seconds nothing is known, and an attempt is the way to learn something.
const FORGET_MS = 5000;
const DEFAULT_LATENCY_MS = 20;

/**
 * Estimates the requests of others at a backend server. A report tells of the moment at which it was written; the
 * requests that it counts end within about one service time, so with age the estimate returns to the average.
 */
export const estimateOthersLoad = (
    service: ServiceState,
    server: BackendServerState,
    opts: { readonly atMs: number; readonly trust: number; },
): number => {
    const { atMs, trust } = opts;
    if (server.reportedAtMs === undefined) {
        return 0;
    }
    const ageMs = Math.max(0, atMs - server.reportedAtMs);
    const relaxationMs = Math.max(1, service.medianLatencyMs ?? DEFAULT_LATENCY_MS);
    const expected = server.meanOthers
        + trust * (server.reportedOthers - server.meanOthers) * Math.exp(-ageMs / relaxationMs);
    return expected * Math.exp(-ageMs / FORGET_MS);
};
