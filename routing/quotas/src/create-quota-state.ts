import type { QuotaBounds } from "@marigoldstall/core.types";
import type { QuotaState } from "./quota-state.js";

/** Initial state, without a configuration. */
export const createQuotaState = (opts: {
    readonly bounds: QuotaBounds | undefined;
    readonly reporterId: string;
    readonly availabilityZone: string;
    readonly atMs: number;
}): QuotaState => ({
    bounds: opts.bounds,
    reporterId: opts.reporterId,
    availabilityZone: opts.availabilityZone,
    startedAtMs: opts.atMs,
    quotas: new Map(),
    own: new Map(),
    isHub: false,
    hubTerm: 0,
    hubSinceMs: -Infinity,
    members: new Map(),
    zones: new Map(),
    share: 1,
    minoritySinceMs: undefined,
    metered: "all",
    meteringHeardAtMs: -Infinity,
    hubs: new Map(),
    pending: new Map(),
    returnsUntilMs: new Map(),
    reportSequence: 0,
    reportedAtMs: -Infinity,
    needsFullReport: false,
});
