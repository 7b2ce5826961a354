import type { BackendServerState } from "./backend-server-state.js";
import type { ServiceState } from "./service-state.js";

// After some seconds without a report the load is unknown. The estimate decays to 0, so that an attempt is sent there
// and its response brings new information.
const STALE_REPORT_DECAY_MS = 5000;
const DEFAULT_LATENCY_MS = 20;

/**
 * Estimates the requests from other senders at a backend server. A load report describes the moment at which it was
 * written. The requests that it counts end within about one service time, so the estimate converges to the moving
 * average as the report ages.
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
    const reportDecayMs = Math.max(1, service.medianLatencyMs ?? DEFAULT_LATENCY_MS);
    const expected = server.meanOthersLoad
        + trust * (server.reportedOthersLoad - server.meanOthersLoad) * Math.exp(-ageMs / reportDecayMs);
    return expected * Math.exp(-ageMs / STALE_REPORT_DECAY_MS);
};
