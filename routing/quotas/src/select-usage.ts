import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { selectQuotaLimit } from "./select-quota-limit.js";
import { sumWindow } from "./sum-window.js";

/** Requests of a tenant in the last window that count against its quota, as far as this hub knows. */
export const selectUsage = (state: QuotaState, tenantName: string, atMs: number): number => {
    const { bounds } = state;
    if (bounds === undefined) {
        return 0;
    }
    const { windowMs } = bounds;
    let usage = 0;
    for (const { tenants } of state.zones.values()) {
        usage += sumWindow(tenants.get(tenantName)?.window ?? [], { atMs, windowMs });
    }
    const unknownPart = Math.max(0, 1 - (atMs - state.startedAtMs) / windowMs);
    const assumed = unknownPart === 0
        ? 0
        : unknownPart * QUOTA_LIMITS.assumedShare * selectQuotaLimit(state, tenantName);
    return usage + assumed;
};
