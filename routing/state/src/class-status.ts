import type { LatencyTarget, Urgency } from "@marigoldstall/core.types";

/** Status of one class: the last 10 s at this daemon compared with its targets. */
export interface ClassStatus {
    readonly service: string;
    readonly className: string;
    readonly urgency: Urgency;
    readonly lateness: LatencyTarget;
    readonly turnedAwayAtMostPercent: number;
    readonly arrived: number;
    readonly completed: number;
    readonly late: number;
    /** Requests that admission control rejected or whose deadline passed in the queue. */
    readonly rejected: number;
    /** Requests that ended with outcome `unknown`. */
    readonly unknown: number;
    readonly queued: number;
    readonly inFlight: number;
    readonly p50Ms: number | undefined;
    readonly p95Ms: number | undefined;
    readonly p99Ms: number | undefined;
    /** Latency at the percentile that the target names. */
    readonly atTargetPercentileMs: number | undefined;
    readonly degraded: boolean;
    readonly degradedReasons: readonly string[];
}
