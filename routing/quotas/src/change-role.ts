import { createZoneUsage } from "./create-zone-usage.js";
import type { QuotaState } from "./quota-state.js";

/**
 * Applies that this VM acts as the hub of its zone or stops doing so. A new hub knows what it admitted itself, and learns
 * the rest from the next reports of the members and of the other hubs.
 */
export const changeRole = (
    state: QuotaState,
    opts: { readonly isHub: boolean; readonly atMs: number; },
): QuotaState => {
    const { isHub, atMs } = opts;
    const { availabilityZone, reporterId, own } = state;
    const zones = new Map(state.zones).set(availabilityZone, createZoneUsage({ reporterId, tenants: own }));
    const hubTerm = state.hubTerm + (isHub ? 1 : 0);
    return {
        ...state,
        isHub,
        hubTerm,
        hubSinceMs: atMs,
        zones,
        members: new Map(),
        metered: "all",
        needsFullReport: true,
    };
};
