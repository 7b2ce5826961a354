import type { AdmissionVerdict } from "./admission-verdict.js";
import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { selectQuotaLimit } from "./select-quota-limit.js";
import { selectUsage } from "./select-usage.js";

interface Grant {
    readonly state: QuotaState;
    readonly verdict: AdmissionVerdict;
    readonly retryAfterMs: number;
}

// Time until the oldest requests of the window no longer count.
const selectUntilRoomMs = (state: QuotaState, opts: {
    readonly tenantName: string;
    readonly atMs: number;
    readonly windowMs: number;
}): number => {
    const { sliceMs } = QUOTA_LIMITS;
    const firstSlice = Math.floor((opts.atMs - opts.windowMs) / sliceMs);
    let oldestSlice = Infinity;
    for (const { tenants } of state.zones.values()) {
        for (const { slice } of tenants.get(opts.tenantName)?.window ?? []) {
            oldestSlice = slice >= firstSlice ? Math.min(oldestSlice, slice) : oldestSlice;
        }
    }
    return Number.isFinite(oldestSlice) ? (oldestSlice - firstSlice + 1) * sliceMs : 0;
};

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
    if (selectUsage(state, tenantName, atMs) + 1 <= limit) {
        return { state, verdict: "admitted", retryAfterMs: 0 };
    }
    const { windowMs } = bounds;
    const requestMs = windowMs / limit;
    const roomAtMs = atMs + selectUntilRoomMs(state, { tenantName, atMs, windowMs });
    const earliestAtMs = Math.max(roomAtMs, state.returnsUntilMs.get(tenantName) ?? -Infinity);
    const returnAtMs = Math.min(earliestAtMs + requestMs, atMs + windowMs);
    return {
        state: { ...state, returnsUntilMs: new Map(state.returnsUntilMs).set(tenantName, returnAtMs) },
        // The other part of the fleet may have left some of its part unused.
        verdict: share < openShare ? "unknown" : "exceeded",
        retryAfterMs: returnAtMs - atMs,
    };
};
