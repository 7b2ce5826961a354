/** Latency target of a class: `percentile` percent of its requests are answered within `withinMs`. */
export interface LatencyTarget {
    readonly percentile: number;
    readonly withinMs: number;
}
