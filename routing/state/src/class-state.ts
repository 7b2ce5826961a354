import type { ClassTargets } from "@marigoldstall/core.types";
import type { ClassSecond } from "./class-second.js";

/** Statistics of one class at this daemon. */
export interface ClassState {
    readonly targets: ClassTargets;
    /** The last seconds that had an event, oldest first. */
    readonly seconds: readonly ClassSecond[];
    /** Times from the start of an attempt to its response, with weights that halve about every 3 s. */
    readonly attemptLatencies: Float64Array;
    /** Newest times, not yet in `attemptLatencies`. */
    readonly newestAttemptLatenciesMs: readonly number[];
    readonly attemptLatenciesSecond: number;
    /** p95 of `attemptLatencies`, undefined while they are too few. */
    readonly hedgeAfterMs: number | undefined;
}
