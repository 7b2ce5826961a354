import { addToTenant } from "./add-to-tenant.js";
import type { QuotaState } from "./quota-state.js";
import { sumWindow } from "./sum-window.js";
import type { TenantCount } from "./tenant-count.js";
import type { UsageReport } from "./usage-report.js";

/** Adds what another zone has admitted since its hub's last report. */
export const receiveZoneUsage = (state: QuotaState, opts: {
    readonly report: UsageReport;
    readonly zone: string;
    readonly atMs: number;
}): QuotaState => {
    const { bounds } = state;
    const { report: { reporterId, sequence, tenants: reported }, zone, atMs } = opts;
    const known = state.zones.get(zone);
    const isSameReporter = known?.reporterId === reporterId;
    if (bounds === undefined || (isSameReporter && sequence <= known.sequence)) {
        return state;
    }
    const { windowMs } = bounds;
    // The totals of another hub of the zone do not continue those of the former one.
    const reportedTotals = new Map(isSameReporter ? known.reportedTotals : []);
    const reporterSinceMs = isSameReporter ? known.reporterSinceMs : atMs;
    // A new hub learns of its members' requests one by one, and the former one has reported them already.
    const mayRepeat = atMs - reporterSinceMs < windowMs;
    let tenants: ReadonlyMap<string, TenantCount> = known?.tenants ?? new Map();
    for (const { name, total, recent } of reported) {
        const knownTotal = reportedTotals.get(name);
        const uncounted = Math.max(0, recent - sumWindow(tenants.get(name)?.window ?? [], { atMs, windowMs }));
        const added = knownTotal === undefined
            ? uncounted
            : Math.min(total - knownTotal, mayRepeat ? uncounted : recent);
        const isSpread = !isSameReporter || known.hasGap;
        tenants = addToTenant(tenants, name, { atMs, windowMs, count: added, isSpread });
        reportedTotals.set(name, total);
    }
    const usage = { reporterId, sequence, reporterSinceMs, hasGap: false, reportedTotals, tenants };
    return { ...state, zones: new Map(state.zones).set(zone, usage) };
};
