import { latencyBuckets } from "./latency-buckets.js";
import type { Mutable } from "./mutable.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const WEIGHT_KEPT_PER_SECOND = 0.8;
const NEWEST_LIMIT = 32;
const HEDGE_PERCENTILE = 95;

/** Takes the time to a response into the distribution from which the hedging delay of a class is derived. */
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
    const passed = Math.max(0, second - classState.attemptLatenciesSecond);
    const newest = [...classState.newestAttemptLatenciesMs, opts.latencyMs];
    if (passed === 0 && newest.length < NEWEST_LIMIT) {
        service.classes = new Map(service.classes).set(className, { ...classState, newestAttemptLatenciesMs: newest });
        return;
    }
    const weight = WEIGHT_KEPT_PER_SECOND ** passed;
    const faded = weight === 1 ? classState.attemptLatencies : classState.attemptLatencies.map(count => count * weight);
    const latencies = latencyBuckets.add(faded, newest);
    const samples = latencies.reduce((sum, count) => sum + count, 0);
    service.classes = new Map(service.classes).set(className, {
        ...classState,
        attemptLatencies: latencies,
        newestAttemptLatenciesMs: [],
        attemptLatenciesSecond: second,
        hedgeAfterMs: samples < ROUTING_LIMITS.hedgeSamplesAtLeast
            ? undefined
            : latencyBuckets.percentile(latencies, HEDGE_PERCENTILE),
    });
};
