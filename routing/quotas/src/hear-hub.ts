import type { Transition } from "@marigoldstall/core.types";
import type { QuotaEffect } from "./quota-effect.js";
import type { QuotaEvent } from "./quota-event.js";
import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";

/** Learns from a hub which tenants are metered. A hub that is new, or was silent, is told all counts. */
export const hearHub = (
    state: QuotaState,
    event: Extract<QuotaEvent, { readonly type: "hub-heard"; }>,
): Transition<QuotaState, QuotaEffect> => {
    const { atMs, vmId, availabilityZone, metered } = event;
    if (state.bounds === undefined) {
        return { state, effects: [] };
    }
    const known = state.hubs.get(availabilityZone);
    const isNews = known?.vmId !== vmId || atMs - known.heardAtMs > QUOTA_LIMITS.fullReportGapMs;
    const zone = state.zones.get(availabilityZone);
    const zones = isNews && zone !== undefined && availabilityZone !== state.availabilityZone
        ? new Map(state.zones).set(availabilityZone, { ...zone, hasGap: true })
        : state.zones;
    const hubs = new Map(state.hubs).set(availabilityZone, { vmId, heardAtMs: atMs });
    const isOwnHub = availabilityZone === state.availabilityZone && !state.isHub;
    const next = {
        ...state,
        hubs,
        zones,
        needsFullReport: state.needsFullReport || isNews,
        ...isOwnHub && metered !== undefined
            ? { metered: metered === "all" ? metered : new Set(metered), meteringHeardAtMs: atMs }
            : {},
    };
    const hasCounts = state.isHub ? state.zones.size > 0 : state.own.size > 0;
    return { state: next, effects: isNews && hasCounts ? [{ type: "usage-changed" }] : [] };
};
