import type { AttemptState } from "./attempt-state.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";

// Logistic approximation of the upper tail of the normal distribution.
const LOGISTIC_SLOPE = 1.702;

/**
 * Chance that an attempt without a response started on a slow VM, from what the reports around its start say and from
 * how unlikely a response is to take this long on another one.
 */
export const estimateSlowChance = (attempt: AttemptState, atMs: number): number => {
    const elapsedMs = Math.max(1, atMs - attempt.startedAtMs);
    const deviations = Math.log(elapsedMs / Math.max(1, attempt.steadyMs)) / DISPATCH_LIMITS.workSpread;
    const tail = 1 / (1 + Math.exp(LOGISTIC_SLOPE * deviations));
    // A server may have been slow, full or ill without any report of it.
    const prior = Math.max(attempt.slowChance, 0.01);
    return prior / (prior + (1 - prior) * tail);
};
