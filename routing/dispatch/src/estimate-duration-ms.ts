import { DISPATCH_LIMITS } from "./dispatch-limits.js";

/**
 * Time that work takes on a VM whose slowness was reported a while ago. The slowness at its start counts for all of a
 * request, and the report may be outdated by then.
 */
export const estimateDurationMs = (workMs: number, opts: {
    readonly slowness: number;
    readonly averageSlowness: number;
    readonly ageMs: number;
}): number => {
    const trust = Math.max(0, 1 - opts.ageMs / DISPATCH_LIMITS.slownessLifeMs);
    return workMs * (trust * opts.slowness + (1 - trust) * opts.averageSlowness);
};
