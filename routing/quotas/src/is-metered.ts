import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { selectQuotaLimit } from "./select-quota-limit.js";
import { selectTokens } from "./select-tokens.js";
import { selectUsage } from "./select-usage.js";

/** Whether this hub grants the requests of a tenant one by one. */
export const isMetered = (state: QuotaState, tenantName: string, atMs: number): boolean => {
    const { openShare, meteredShare, burstShare, meteredBurstShare } = QUOTA_LIMITS;
    const limit = selectQuotaLimit(state, tenantName);
    return state.share < openShare || selectUsage(state, tenantName, atMs) >= meteredShare * limit
        || selectTokens(state, tenantName, atMs) <= meteredBurstShare * burstShare * limit;
};
