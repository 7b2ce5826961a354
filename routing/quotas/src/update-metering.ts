import type { Transition } from "@marigoldstall/core.types";
import { isMetered } from "./is-metered.js";
import type { QuotaEffect } from "./quota-effect.js";
import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";
import { selectQuotaLimit } from "./select-quota-limit.js";
import { selectUsage } from "./select-usage.js";

const logChanges = (before: QuotaState, after: QuotaState, atMs: number): readonly QuotaEffect[] => {
    const { share } = after;
    if (before.metered === "all" || after.metered === "all") {
        const isMeteredNow = after.metered === "all";
        return before.metered === after.metered ? [] : [{
            type: "log-metering",
            isMetered: isMeteredNow,
            tenantName: undefined,
            usedRequests: 0,
            limitRequests: 0,
            share,
        }];
    }
    const changed = [
        ...[...after.metered].filter(name => before.metered !== "all" && !before.metered.has(name)),
        ...[...before.metered].filter(name => after.metered !== "all" && !after.metered.has(name)),
    ];
    return changed.map(tenantName => ({
        type: "log-metering",
        isMetered: after.metered !== "all" && after.metered.has(tenantName),
        tenantName,
        usedRequests: selectUsage(after, tenantName, atMs),
        limitRequests: selectQuotaLimit(after, tenantName),
        share,
    }));
};

const forgetReporters = (state: QuotaState, atMs: number): QuotaState => {
    const keptMs = (state.bounds?.windowMs ?? 0) * QUOTA_LIMITS.reporterKeptWindows;
    const members = [...state.members].filter(([, { heardAtMs }]) => atMs - heardAtMs <= keptMs);
    return members.length === state.members.size ? state : { ...state, members: new Map(members) };
};

// Tenants with a quota and any requests that are remembered. The others are not metered.
const listActive = ({ zones, quotas }: QuotaState): readonly string[] => {
    const active = new Set<string>();
    for (const { tenants } of zones.values()) {
        for (const [name, { window }] of tenants) {
            if (window.length > 0 && quotas.has(name)) {
                active.add(name);
            }
        }
    }
    return [...active];
};

/** Decides as the hub which tenants are metered, by the part of the fleet that it hears and by what they have used. */
export const updateMetering = (
    state: QuotaState,
    opts: { readonly atMs: number; readonly share: number; },
): Transition<QuotaState, QuotaEffect> => {
    const { atMs, share } = opts;
    const minoritySinceMs = share < QUOTA_LIMITS.minorityShare ? state.minoritySinceMs ?? atMs : undefined;
    const shared = { ...forgetReporters(state, atMs), share, minoritySinceMs };
    const metered = share < QUOTA_LIMITS.openShare
        ? "all" as const
        : new Set(listActive(shared).filter(tenantName => isMetered(shared, tenantName, atMs)));
    const next = { ...shared, metered };
    return { state: next, effects: logChanges(state, next, atMs) };
};
