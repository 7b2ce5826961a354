import type { AttemptState } from "./attempt-state.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";

// Logistic approximation of the upper tail of the normal distribution.
const LOGISTIC_SLOPE = 1.702;

/**
 * Probability that an attempt without a response started on a slow VM. It combines the load reports around the start
 * with how unlikely the elapsed time is on a VM that is not slow.
 */
export const estimateSlowChance = (attempt: AttemptState, atMs: number): number => {
    const elapsedMs = Math.max(1, atMs - attempt.startedAtMs);
    const deviations = Math.log(elapsedMs / Math.max(1, attempt.reportBasedMs)) / DISPATCH_LIMITS.workLogDeviation;
    const tailProbability = 1 / (1 + Math.exp(LOGISTIC_SLOPE * deviations));
    // A server may have been slow, overloaded or faulty without any report of it.
    const prior = Math.max(attempt.slowChance, 0.01);
    return prior / (prior + (1 - prior) * tailProbability);
};
