import { countInZone } from "./count-in-zone.js";
import type { QuotaState } from "./quota-state.js";
import type { UsageReport } from "./usage-report.js";

/** Adds what a member of this hub's zone has admitted since its last report. */
export const receiveMemberUsage = (state: QuotaState, report: UsageReport, atMs: number): QuotaState => {
    const { reporterId, sequence } = report;
    const member = state.members.get(reporterId) ?? { sequence: 0, heardAtMs: atMs, tenants: new Map() };
    if (sequence <= member.sequence) {
        return state;
    }
    const known = new Map(member.tenants);
    let next = state;
    for (const { name: tenantName, total, recent } of report.tenants) {
        const { total: knownTotal, granted } = known.get(tenantName) ?? { total: undefined, granted: 0 };
        const isFirst = knownTotal === undefined;
        const added = isFirst ? recent : Math.min(total - knownTotal, recent);
        next = countInZone(next, { atMs, tenantName, count: added - granted, isSpread: isFirst && added > granted });
        known.set(tenantName, { total, granted: 0 });
    }
    const members = new Map(state.members).set(reporterId, { sequence, heardAtMs: atMs, tenants: known });
    return { ...next, members };
};
