import { countOccupied } from "./count-occupied.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import { estimateDurationMs } from "./estimate-duration-ms.js";
import { fadeFailures } from "./fade-failures.js";
import type { ServerEstimate } from "./server-estimate.js";
import type { ServerState } from "./server-state.js";

const PERCENT = 100;
const BYTES_PER_KB = 1_024;

interface EstimateServerOptions {
    readonly atMs: number;
    readonly availabilityZone: string;
    readonly workMs: number;
    readonly responseBytes: number;
}

/** Estimates how long a request takes at a server if it is sent now. */
export const estimateServer = (
    service: DispatchService,
    server: ServerState,
    opts: EstimateServerOptions,
): ServerEstimate => {
    const { atMs, workMs } = opts;
    const { slots } = server.server;
    const occupied = countOccupied(server, atMs);
    const reported = server.load?.slownessPercent;
    const slowness = reported === undefined ? service.slowness : reported / PERCENT;
    const waiting = Math.max(0, occupied - slots + 1);
    const reportAgeMs = atMs - server.measuredAtMs;
    const coldFactor = server.coldUntilMs > atMs ? DISPATCH_LIMITS.coldFactor : 1;
    const takesLastSlot = slots > 1 && occupied + 1 >= slots;
    const fullFactor = takesLastSlot ? service.lastSlotFactor : 1;
    const durationMs = estimateDurationMs(workMs * coldFactor * fullFactor, {
        slowness,
        averageSlowness: service.slowness,
        // What a request that has to wait for a slot meets then is not known.
        ageMs: waiting > 0 ? Infinity : reportAgeMs,
    });
    // A slot comes free after half of a request on average, the next ones after a request each.
    const waitMs = waiting === 0 ? 0 : (waiting - 0.5) / slots * workMs * service.slowness;
    const isNear = server.server.availabilityZone === opts.availabilityZone;
    const distanceMs = isNear ? 0 : DISPATCH_LIMITS.zoneDistanceMs;
    const totalMs = waitMs + durationMs + distanceMs;
    const steadyMs = waitMs + workMs * coldFactor * fullFactor * slowness + distanceMs;
    const bytesMs = isNear ? 0 : opts.responseBytes / BYTES_PER_KB * DISPATCH_LIMITS.zoneMsPerKb;
    const connectionMs = server.idleConnections > 0 ? 0 : workMs * DISPATCH_LIMITS.newConnectionShare;
    const preferenceMs = server.preference * workMs * DISPATCH_LIMITS.preferenceShare;
    const troubleMs = fadeFailures(server, atMs) * DISPATCH_LIMITS.failureMs
        + (server.isUnhealthy ? DISPATCH_LIMITS.unhealthyMs : 0);
    const costMs = totalMs + bytesMs + connectionMs + preferenceMs + troubleMs;
    return { server, occupied, steadyMs, slowness, takesLastSlot, reportAgeMs, totalMs, costMs };
};
