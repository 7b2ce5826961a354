import type { TenantCount } from "./tenant-count.js";
import type { ZoneUsage } from "./zone-usage.js";

/** Creates the usage of a zone before any report on it. */
export const createZoneUsage = (opts: {
    readonly reporterId: string;
    readonly tenants?: ReadonlyMap<string, TenantCount>;
}): ZoneUsage => ({
    reporterId: opts.reporterId,
    sequence: 0,
    reporterSinceMs: 0,
    hasGap: false,
    reportedTotals: new Map(),
    tenants: opts.tenants ?? new Map(),
});
