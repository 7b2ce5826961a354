import { addToTenant } from "./add-to-tenant.js";
import type { QuotaState } from "./quota-state.js";
import { sumWindow } from "./sum-window.js";
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
    let tenants = known?.tenants ?? new Map();
    for (const { name, total, recent } of reported) {
        const knownTotal = reportedTotals.get(name);
        const counted = sumWindow(tenants.get(name)?.window ?? [], { atMs, windowMs });
        const isFirst = knownTotal === undefined;
        const added = isFirst ? Math.max(0, recent - counted) : Math.min(total - knownTotal, recent);
        tenants = addToTenant(tenants, name, { atMs, windowMs, count: added, isSpread: isFirst });
        reportedTotals.set(name, total);
    }
    return { ...state, zones: new Map(state.zones).set(zone, { reporterId, sequence, reportedTotals, tenants }) };
};
