import { latencyBuckets } from "./latency-buckets.js";
import type { Mutable } from "./mutable.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const DECAY_FACTOR_PER_SECOND = 0.8;
const MAX_PENDING_LATENCIES = 32;
const HEDGE_PERCENTILE = 95;

/** Adds the time to a response to the distribution from which the hedging delay of a class is derived. */
export const recordAttemptLatency = (
    service: Mutable<ServiceState>,
    className: string,
    opts: { readonly atMs: number; readonly latencyMs: number; },
): void => {
    const classState = service.classes.get(className);
    if (classState === undefined) {
        return;
    }
    const second = Math.floor(opts.atMs / 1000);
    const elapsedSeconds = Math.max(0, second - classState.attemptLatencyDecaySecond);
    const pending = [...classState.pendingAttemptLatenciesMs, opts.latencyMs];
    if (elapsedSeconds === 0 && pending.length < MAX_PENDING_LATENCIES) {
        service.classes = new Map(service.classes).set(className, {
            ...classState,
            pendingAttemptLatenciesMs: pending,
        });
        return;
    }
    const weight = DECAY_FACTOR_PER_SECOND ** elapsedSeconds;
    const decayedCounts = weight === 1
        ? classState.attemptLatencyCounts
        : classState.attemptLatencyCounts.map(count => count * weight);
    const latencyCounts = latencyBuckets.add(decayedCounts, pending);
    const samples = latencyCounts.reduce((sum, count) => sum + count, 0);
    service.classes = new Map(service.classes).set(className, {
        ...classState,
        attemptLatencyCounts: latencyCounts,
        pendingAttemptLatenciesMs: [],
        attemptLatencyDecaySecond: second,
        hedgeAfterMs: samples < ROUTING_LIMITS.minHedgeSamples
            ? undefined
            : latencyBuckets.percentile(latencyCounts, HEDGE_PERCENTILE),
    });
};
