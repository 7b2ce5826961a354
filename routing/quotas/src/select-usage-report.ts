import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { sumWindow } from "./sum-window.js";
import type { UsageReport } from "./usage-report.js";

/** What this VM reports next: a member to its hub, a hub to the other hubs. Undefined if there is nothing to report. */
export const selectUsageReport = (state: QuotaState, atMs: number): UsageReport | undefined => {
    const { bounds, isHub, reporterId, hubTerm, reportSequence, reportedAtMs, needsFullReport } = state;
    if (bounds === undefined) {
        return undefined;
    }
    const { windowMs } = bounds;
    const counts = isHub ? state.zones.get(state.availabilityZone)?.tenants ?? new Map() : state.own;
    const changedSinceMs = needsFullReport ? -Infinity : reportedAtMs - QUOTA_LIMITS.repeatReportMs;
    const tenants = [...counts]
        .filter(([, { changedAtMs }]) => changedAtMs >= changedSinceMs)
        .sort(([, a], [, b]) => b.changedAtMs - a.changedAtMs)
        .map(([name, { total, window }]) => ({ name, total, recent: sumWindow(window, { atMs, windowMs }) }))
        .filter(({ recent }) => !needsFullReport || recent > 0)
        .slice(0, QUOTA_LIMITS.maxReportedTenants);
    return tenants.length === 0 ? undefined : {
        // A hub counts for its zone anew in each of its terms.
        reporterId: isHub ? `${reporterId}#${hubTerm}` : reporterId,
        sequence: reportSequence + 1,
        tenants,
    };
};
