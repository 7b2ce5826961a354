/** Statistics of one class, without calls of the warm-up and second copies. */
export interface ClassReport {
    readonly name: string;
    readonly sent: number;
    readonly completed: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly noAnswer: number;
    /** Latency of completed calls, as are the three fields below. */
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
    readonly maxMs: number;
}
