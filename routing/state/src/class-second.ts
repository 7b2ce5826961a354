/** Counts of one class in one second. */
export interface ClassSecond {
    readonly second: number;
    readonly arrived: number;
    readonly completed: number;
    readonly late: number;
    readonly rejected: number;
    readonly unknown: number;
    /** Latencies of the completed requests, from arrival to the end of the response. */
    readonly latencies: Uint32Array;
    /** Newest latencies, not yet in `latencies`: copying the buckets for each one would cost more than the rest. */
    readonly newestLatenciesMs: readonly number[];
}
