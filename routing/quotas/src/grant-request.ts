import type { AdmissionVerdict } from "./admission-verdict.js";
import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { selectQuotaLimit } from "./select-quota-limit.js";
import { selectTokens } from "./select-tokens.js";
import { selectUsage } from "./select-usage.js";

interface Grant {
    readonly state: QuotaState;
    readonly verdict: AdmissionVerdict;
    readonly retryAfterMs: number;
}

/**
 * Decides as the hub whether a request is within the quota of its tenant. Callers beyond it are told to come back when
 * there is room again, one after the other at the rate of the quota.
 */
export const grantRequest = (
    state: QuotaState,
    opts: { readonly tenantName: string; readonly atMs: number; },
): Grant => {
    const { bounds, minoritySinceMs, share } = state;
    const { tenantName, atMs } = opts;
    const quota = state.quotas.get(tenantName);
    if (bounds === undefined || quota === undefined) {
        return { state, verdict: "admitted", retryAfterMs: 0 };
    }
    const { minorityDelayMs, unknownRetryAfterMs, openShare } = QUOTA_LIMITS;
    if (share === 0 || (minoritySinceMs !== undefined && atMs - minoritySinceMs < minorityDelayMs)) {
        return { state, verdict: "unknown", retryAfterMs: unknownRetryAfterMs };
    }
    const limit = selectQuotaLimit(state, tenantName);
    const tokens = selectTokens(state, tenantName, atMs);
    if (tokens >= 1 && selectUsage(state, tenantName, atMs) + 1 <= limit) {
        return { state, verdict: "admitted", retryAfterMs: 0 };
    }
    const { windowMs } = bounds;
    const requestMs = windowMs / limit;
    const roomAtMs = atMs + Math.max(1, 1 - tokens) * requestMs;
    const earliestAtMs = Math.max(roomAtMs, state.returnsUntilMs.get(tenantName) ?? -Infinity);
    const returnAtMs = Math.min(earliestAtMs + requestMs, atMs + windowMs);
    return {
        state: { ...state, returnsUntilMs: new Map(state.returnsUntilMs).set(tenantName, returnAtMs) },
        // The other part of the fleet may have left some of its part unused.
        verdict: share < openShare ? "unknown" : "exceeded",
        retryAfterMs: returnAtMs - atMs,
    };
};
