import { countOccupied } from "./count-occupied.js";
import { decayFailures } from "./decay-failures.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import type { DispatchState } from "./dispatch-state.js";
import { estimateDurationMs } from "./estimate-duration-ms.js";
import { selectZoneDetourMs } from "./select-zone-detour-ms.js";
import type { ServerEstimate } from "./server-estimate.js";
import type { ServerState } from "./server-state.js";

const PERCENT = 100;
const BYTES_PER_KB = 1_024;

interface EstimateServerOptions {
    readonly atMs: number;
    readonly zones: Pick<DispatchState, "availabilityZone" | "roundTripMsByZone">;
    readonly workMs: number;
    readonly responseBytes: number;
}

/** Estimates the duration and the cost of a request that is sent to a server now. */
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
    const aheadCount = Math.max(0, occupied - slots + 1);
    const reportAgeMs = atMs - server.measuredAtMs;
    const coldFactor = server.coldUntilMs > atMs ? DISPATCH_LIMITS.coldFactor : 1;
    const takesLastSlot = slots > 1 && occupied + 1 >= slots;
    const slotFactor = takesLastSlot ? service.lastSlotFactor : 1;
    const durationMs = estimateDurationMs(workMs * coldFactor * slotFactor, {
        slowness,
        averageSlowness: service.slowness,
        // The slowness at the time when a queued request gets its slot is unknown.
        ageMs: aheadCount > 0 ? Infinity : reportAgeMs,
    });
    // On average, the first slot is freed after half of a request, and each further one after a whole request.
    const waitMs = aheadCount === 0 ? 0 : (aheadCount - 0.5) / slots * workMs * service.slowness;
    const { availabilityZone } = server.server;
    const isSameZone = availabilityZone === opts.zones.availabilityZone;
    const zoneRoundTripMs = selectZoneDetourMs(opts.zones, availabilityZone);
    const totalMs = waitMs + durationMs + zoneRoundTripMs;
    const reportBasedMs = waitMs + workMs * coldFactor * slotFactor * slowness + zoneRoundTripMs;
    const transferKb = opts.responseBytes / BYTES_PER_KB + DISPATCH_LIMITS.exchangeOverheadKb;
    const transferMs = isSameZone ? 0 : transferKb * DISPATCH_LIMITS.crossZoneMsPerKb;
    const connectionMs = server.idleConnections > 0 ? 0 : workMs * DISPATCH_LIMITS.newConnectionShare;
    const preferenceMs = server.preference * workMs * DISPATCH_LIMITS.preferenceShare;
    const penaltyMs = decayFailures(server, atMs) * DISPATCH_LIMITS.failurePenaltyMs
        + (server.isUnhealthy ? DISPATCH_LIMITS.unhealthyPenaltyMs : 0);
    const unusedBonusMs = server.isUsed || !isSameZone ? 0 : workMs * DISPATCH_LIMITS.unusedBonusShare;
    const commonCostMs = totalMs + transferMs + penaltyMs - unusedBonusMs;
    const costMs = commonCostMs + connectionMs + preferenceMs;
    return { server, occupied, reportBasedMs, slowness, takesLastSlot, reportAgeMs, totalMs, commonCostMs, costMs };
};
