import { editServer } from "./edit-server.js";
import type { Mutable } from "./mutable.js";
import { reportTrusts } from "./report-trusts.js";
import type { ServiceState } from "./service-state.js";

const EWMA_WEIGHT = 0.15;
const MEDIAN_VALID_MS = 250;

const medianOf = (values: readonly number[]): number | undefined =>
    values.toSorted((left, right) => left - right)[Math.floor((values.length - 1) / 2)];

/** Updates the moving average of a backend server, and the median of its service, with the time to a response. */
export const recordServerLatency = (
    service: Mutable<ServiceState>,
    address: string,
    opts: { readonly atMs: number; readonly latencyMs: number; readonly predictedLoad: number; },
): void => {
    const server = editServer(service, address);
    if (server === undefined) {
        return;
    }
    if (server.latencyMs !== undefined && server.latencyMs > 0) {
        const latency = opts.latencyMs / server.latencyMs;
        service.reportTrust = reportTrusts.add(service.reportTrust, { load: opts.predictedLoad, latency });
    }
    server.latencyMs = server.latencyMs === undefined
        ? opts.latencyMs
        : server.latencyMs + (opts.latencyMs - server.latencyMs) * EWMA_WEIGHT;
    server.latencyAtMs = opts.atMs;
    if (service.medianLatencyMs === undefined || opts.atMs - service.medianComputedAtMs >= MEDIAN_VALID_MS) {
        service.medianLatencyMs = medianOf(service.servers.flatMap(other => other.latencyMs ?? []));
        service.medianComputedAtMs = opts.atMs;
    }
};
