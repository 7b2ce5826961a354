import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";

const MS_PER_SECOND = 1_000;

/** Requests of a tenant that this VM may let the fleet run in a window. Infinite without a quota. */
export const selectQuotaLimit = (state: QuotaState, tenantName: string): number => {
    const quota = state.quotas.get(tenantName);
    if (state.bounds === undefined || quota === undefined) {
        return Infinity;
    }
    const { windowMs, overShare, slackRequests } = state.bounds;
    const covered = quota.requestsPerSecond * windowMs / MS_PER_SECOND + quota.burstRequests;
    const tolerance = (covered * overShare + slackRequests) * QUOTA_LIMITS.toleranceShare;
    // A quota below one request in a window still allows one.
    return Math.max(1, covered + tolerance) * state.share;
};
