import { DISPATCH_LIMITS } from "./dispatch-limits.js";

/**
 * Expected duration of work on a VM whose slowness was reported `ageMs` ago. The slowness at the start applies to the
 * whole request. The older the report is, the more the average slowness counts, as the VM may have changed since.
 */
export const estimateDurationMs = (workMs: number, opts: {
    readonly slowness: number;
    readonly averageSlowness: number;
    readonly ageMs: number;
}): number => {
    const reportWeight = Math.max(0, 1 - opts.ageMs / DISPATCH_LIMITS.slownessValidForMs);
    return workMs * (reportWeight * opts.slowness + (1 - reportWeight) * opts.averageSlowness);
};
