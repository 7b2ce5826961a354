import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { selectQuotaLimit } from "./select-quota-limit.js";
import { selectUsage } from "./select-usage.js";

/** Whether this hub grants the requests of a tenant one by one. */
export const isMetered = (state: QuotaState, tenantName: string, atMs: number): boolean =>
    state.share < QUOTA_LIMITS.openShare
    || selectUsage(state, tenantName, atMs) >= QUOTA_LIMITS.meteredShare * selectQuotaLimit(state, tenantName);
