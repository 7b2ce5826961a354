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

const MS_PER_SECOND = 1_000;

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
    const tokens = selectTokens(state, tenantName, atMs);
    const usage = selectUsage(state, tenantName, atMs);
    if (tokens >= 1 && usage + 1 <= selectQuotaLimit(state, tenantName)) {
        return { state, verdict: "admitted", retryAfterMs: 0 };
    }
    const requestMs = MS_PER_SECOND / (quota.requestsPerSecond * share);
    const roomAtMs = atMs + Math.max(0, 1 - tokens) * requestMs;
    const earliestAtMs = Math.max(roomAtMs, state.returnsUntilMs.get(tenantName) ?? -Infinity);
    const returnAtMs = Math.min(earliestAtMs + requestMs, atMs + bounds.windowMs);
    return {
        state: { ...state, returnsUntilMs: new Map(state.returnsUntilMs).set(tenantName, returnAtMs) },
        // The other part of the fleet may have left some of its part unused.
        verdict: share < openShare ? "unknown" : "exceeded",
        retryAfterMs: returnAtMs - atMs,
    };
};
