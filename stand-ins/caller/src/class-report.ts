/** Figures of one class, without the warm-up and without second copies. */
export interface ClassReport {
    readonly name: string;
    readonly sent: number;
    readonly completed: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly noAnswer: number;
    /** Latency of completed calls. */
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
    readonly maxMs: number;
}
