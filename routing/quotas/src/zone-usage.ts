import type { TenantCount } from "./tenant-count.js";

/** Admitted requests of a zone, by tenant. */
export interface ZoneUsage {
    /** Hub that reported them. */
    readonly reporterId: string;
    readonly sequence: number;
    /** Since when that hub has reported. */
    readonly reporterSinceMs: number;
    /** Whether it was not heard for a while, so that its next report covers requests of that time. */
    readonly hasGap: boolean;
    /** Totals of the latest reports of that hub, by tenant. */
    readonly reportedTotals: ReadonlyMap<string, number>;
    readonly tenants: ReadonlyMap<string, TenantCount>;
}
