import type { LatencyTarget, Urgency } from "@marigoldstall/core.types";

/** What status shows about one class: the last 10 s at this daemon against its targets. */
export interface ClassStatus {
    readonly service: string;
    readonly className: string;
    readonly urgency: Urgency;
    readonly lateness: LatencyTarget;
    readonly turnedAwayAtMostPercent: number;
    readonly arrived: number;
    readonly completed: number;
    readonly late: number;
    /** Requests that admission control rejected or that ran out of time in the queue. */
    readonly rejected: number;
    /** Requests that ended with outcome `unknown`. */
    readonly unknown: number;
    readonly queued: number;
    readonly inFlight: number;
    readonly p50Ms: number | undefined;
    readonly p95Ms: number | undefined;
    readonly p99Ms: number | undefined;
    /** Latency at the percentile of the target. */
    readonly atTargetPercentileMs: number | undefined;
    readonly degraded: boolean;
    readonly degradedReasons: readonly string[];
}
