/** Statistics of one class over the last 10 s, as reported by one daemon. */
export interface ClassReport {
    readonly service: string;
    readonly className: string;
    readonly lateness: { readonly percentile: number; readonly withinMs: number; };
    readonly turnedAwayAtMostPercent: number;
    readonly arrived: number;
    readonly completed: number;
    readonly late: number;
    readonly rejected: number;
    readonly unknown: number;
    readonly atTargetPercentileMs: number | undefined;
}
