import { addToTenant } from "./add-to-tenant.js";
import { createZoneUsage } from "./create-zone-usage.js";
import type { QuotaState } from "./quota-state.js";

/** Counts requests of this hub's zone, or takes some back if the count is negative. */
export const countInZone = (
    state: QuotaState,
    opts: {
        readonly tenantName: string;
        readonly atMs: number;
        readonly count: number;
        readonly isSpread?: boolean;
    },
): QuotaState => {
    const { bounds, reporterId, availabilityZone } = state;
    const { tenantName, atMs, count, isSpread = false } = opts;
    if (bounds === undefined || count === 0) {
        return state;
    }
    const zone = state.zones.get(availabilityZone) ?? createZoneUsage({ reporterId });
    const tenants = addToTenant(zone.tenants, tenantName, {
        atMs,
        count,
        isSpread,
        windowMs: bounds.windowMs,
    });
    return { ...state, zones: new Map(state.zones).set(availabilityZone, { ...zone, tenants }) };
};
