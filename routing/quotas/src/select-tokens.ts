import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { selectQuotaLimit } from "./select-quota-limit.js";

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
 * Tokens of the bucket that spreads a tenant's requests over the window, after those that this hub knows of. Negative if
 * more were admitted. Infinite without a quota.
 */
export const selectTokens = (state: QuotaState, tenantName: string, atMs: number): number => {
    const limit = selectQuotaLimit(state, tenantName);
    if (state.bounds === undefined || limit === Infinity) {
        return Infinity;
    }
    const { sliceMs, burstShare } = QUOTA_LIMITS;
    const { windowMs } = state.bounds;
    const capacity = Math.max(1, limit * burstShare);
    const perSlice = limit * sliceMs / windowMs;
    const counts = sumSlices(state, tenantName);
    if (counts.size === 0) {
        return capacity;
    }
    const lastSlice = Math.floor(atMs / sliceMs);
    const firstSlice = Math.max(Math.min(...counts.keys()), lastSlice - Math.ceil(windowMs / sliceMs));
    let tokens = capacity;
    for (let slice = firstSlice; slice <= lastSlice; slice += 1) {
        tokens = Math.min(capacity, tokens + perSlice) - (counts.get(slice) ?? 0);
    }
    return tokens;
};
