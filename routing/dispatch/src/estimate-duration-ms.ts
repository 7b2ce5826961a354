import { DISPATCH_LIMITS } from "./dispatch-limits.js";

/**
 * Time that work takes on a VM whose slowness was reported a while ago. The slowness lasts for about half of its life
 * longer; after that the work goes on at the service's average.
 */
export const estimateDurationMs = (workMs: number, opts: {
    readonly slowness: number;
    readonly averageSlowness: number;
    readonly ageMs: number;
}): number => {
    const trust = Math.max(0, 1 - opts.ageMs / DISPATCH_LIMITS.slownessLifeMs);
    const now = trust * opts.slowness + (1 - trust) * opts.averageSlowness;
    const steadyMs = DISPATCH_LIMITS.slownessLifeMs / 2;
    if (workMs * now <= steadyMs) {
        return workMs * now;
    }
    return steadyMs + (workMs - steadyMs / now) * opts.averageSlowness;
};
