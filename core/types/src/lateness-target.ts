/** Latency target of a class: `percentile` of its requests are answered within `withinMs`. */
export interface LatenessTarget {
    readonly percentile: number;
    readonly withinMs: number;
}
