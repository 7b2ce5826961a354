import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";

const MS_PER_SECOND = 1_000;

const sumSlices = (state: QuotaState, tenantName: string): ReadonlyMap<number, number> => {
    const counts = new Map<number, number>();
    for (const { tenants } of state.zones.values()) {
        for (const { slice, count } of tenants.get(tenantName)?.window ?? []) {
            counts.set(slice, (counts.get(slice) ?? 0) + count);
        }
    }
    return counts;
};

/**
 * Tokens of a tenant's bucket, which its rate fills up to its burst, after the requests that this hub knows of. Negative
 * if more were admitted. Infinite without a quota.
 */
export const selectTokens = (state: QuotaState, tenantName: string, atMs: number): number => {
    const { bounds, share } = state;
    const quota = state.quotas.get(tenantName);
    if (bounds === undefined || quota === undefined) {
        return Infinity;
    }
    const { sliceMs, historyWindows } = QUOTA_LIMITS;
    const capacity = Math.max(1, quota.burstRequests) * share;
    const perSlice = quota.requestsPerSecond * share * sliceMs / MS_PER_SECOND;
    const counts = sumSlices(state, tenantName);
    const lastSlice = Math.floor(atMs / sliceMs);
    let tokens = capacity;
    for (
        let slice = lastSlice - Math.ceil(historyWindows * bounds.windowMs / sliceMs);
        slice <= lastSlice;
        slice += 1
    ) {
        tokens = Math.min(capacity, tokens + perSlice) - (counts.get(slice) ?? 0);
    }
    return tokens;
};
