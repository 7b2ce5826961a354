import type { Transition } from "@marigoldstall/core.types";
import type { QuotaEffect } from "./quota-effect.js";
import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { requestAdmission } from "./request-admission.js";

/** Repeats queries without an answer at the hub of the moment, and gives up after the last one. */
export const expireQueries = (
    state: QuotaState,
    opts: { readonly atMs: number; readonly hubHost: string | undefined; },
): Transition<QuotaState, QuotaEffect> => {
    const { atMs, hubHost } = opts;
    const awaitsFirstHub = hubHost === undefined && state.hubs.size === 0;
    const timeoutMs = awaitsFirstHub ? QUOTA_LIMITS.firstHubTimeoutMs : QUOTA_LIMITS.queryTimeoutMs;
    const effects: QuotaEffect[] = [];
    let next = state;
    for (const { requestKey, tenantName, askedAtMs, queries } of state.pending.values()) {
        if (!state.isHub && atMs - askedAtMs <= timeoutMs) {
            continue;
        }
        const pending = new Map(next.pending);
        pending.delete(requestKey);
        next = { ...next, pending };
        if (state.isHub || (queries < QUOTA_LIMITS.maxQueries && !awaitsFirstHub)) {
            const repeated = requestAdmission(next, { atMs, requestKey, tenantName, hubHost, queries });
            next = repeated.state;
            effects.push(...repeated.effects);
        }
        else {
            const retryAfterMs = QUOTA_LIMITS.unknownRetryAfterMs;
            effects.push({ type: "admission-decided", requestKey, tenantName, verdict: "unknown", retryAfterMs });
        }
    }
    return { state: next, effects };
};
