/** Statistics of one class over the whole fleet, with its targets. */
export interface ClassSummary {
    readonly service: string;
    readonly className: string;
    readonly percentile: number;
    readonly withinMs: number;
    readonly turnedAwayAtMostPercent: number;
    readonly arrived: number;
    readonly completed: number;
    readonly late: number;
    readonly rejected: number;
    readonly unknown: number;
    /** Percentage of completed requests within the latency target. */
    readonly onTimePercent: number | undefined;
    readonly turnedAwayPercent: number | undefined;
    /** Highest latency at the target percentile that any daemon reports. */
    readonly worstAtTargetPercentileMs: number | undefined;
    readonly reasons: readonly string[];
}
