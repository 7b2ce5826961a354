import { latencyBuckets } from "./latency-buckets.js";
import type { Mutable } from "./mutable.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const WEIGHT_KEPT_PER_SECOND = 0.8;
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
    const passed = second - classState.attemptLatenciesSecond;
    const weight = passed > 0 ? WEIGHT_KEPT_PER_SECOND ** passed : 1;
    const latencies = weight === 1
        ? classState.attemptLatencies.slice()
        : classState.attemptLatencies.map(count => count * weight);
    const index = latencyBuckets.indexOf(opts.latencyMs);
    latencies[index] = (latencies[index] ?? 0) + 1;
    // The percentile moves slowly, so it is computed once a second, and with each sample while there are few.
    const samples = latencies.reduce((sum, count) => sum + count, 0);
    const due = passed > 0 || classState.hedgeAfterMs === undefined;
    const hedgeAfterMs = samples < ROUTING_LIMITS.hedgeSamplesAtLeast
        ? undefined
        : due
        ? latencyBuckets.percentile(latencies, HEDGE_PERCENTILE)
        : classState.hedgeAfterMs;
    service.classes = new Map(service.classes).set(className, {
        ...classState,
        attemptLatencies: latencies,
        attemptLatenciesSecond: Math.max(second, classState.attemptLatenciesSecond),
        hedgeAfterMs,
    });
};
