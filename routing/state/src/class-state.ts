import type { ClassTargets } from "@marigoldstall/core.types";
import type { ClassSecondCounts } from "./class-second-counts.js";

/** Statistics of one class at this daemon. */
export interface ClassState {
    readonly targets: ClassTargets;
    /** Recent seconds with at least one event, oldest first. */
    readonly seconds: readonly ClassSecondCounts[];
    /** Histogram of the time from the start of an attempt to its response. Weights halve about every 3 s. */
    readonly attemptLatencyCounts: Float64Array;
    /** Latencies not yet in `attemptLatencyCounts`. */
    readonly pendingAttemptLatenciesMs: readonly number[];
    readonly attemptLatencyDecaySecond: number;
    /** p95 of `attemptLatencyCounts`; undefined until there are enough samples. */
    readonly hedgeAfterMs: number | undefined;
}
