import { countInZone } from "./count-in-zone.js";
import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import type { UsageReport } from "./usage-report.js";

/** Adds what a member of this hub's zone has admitted since its last report. */
export const receiveMemberUsage = (state: QuotaState, report: UsageReport, atMs: number): QuotaState => {
    const { reporterId, sequence } = report;
    const member = state.members.get(reporterId) ?? { sequence: 0, heardAtMs: atMs, tenants: new Map() };
    if (sequence <= member.sequence) {
        return state;
    }
    // The first report to a new hub covers the time before; to any other, what the member has just admitted.
    const isNewHub = atMs - state.hubSinceMs < (state.bounds?.windowMs ?? 0);
    const known = new Map(member.tenants);
    let next = state;
    for (const { name: tenantName, total, recent } of report.tenants) {
        const { total: knownTotal, granted, grantedAtMs } = known.get(tenantName)
            ?? { total: undefined, granted: 0, grantedAtMs: -Infinity };
        // A grant whose answer came too late for the member was never used, and stays counted in its window.
        const pending = atMs - grantedAtMs <= QUOTA_LIMITS.grantPendingMs ? granted : 0;
        const added = knownTotal === undefined ? recent : Math.min(total - knownTotal, recent);
        const isSpread = knownTotal === undefined && isNewHub;
        next = countInZone(next, { atMs, tenantName, count: added - pending, isSpread });
        known.set(tenantName, { total, granted: 0, grantedAtMs });
    }
    const members = new Map(state.members).set(reporterId, { sequence, heardAtMs: atMs, tenants: known });
    return { ...next, members };
};
