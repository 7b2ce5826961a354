/** Counts of one class in one second. */
export interface ClassSecondCounts {
    readonly second: number;
    readonly arrived: number;
    readonly completed: number;
    readonly late: number;
    readonly rejected: number;
    readonly unknown: number;
    /** Histogram of the latencies of completed requests, from arrival to the end of the response. */
    readonly latencyCounts: Uint32Array;
    /** Latencies not yet in `latencyCounts`: copying the buckets for each one would cost more than the rest. */
    readonly pendingLatenciesMs: readonly number[];
}
