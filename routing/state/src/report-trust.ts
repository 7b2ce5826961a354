/** Running regression of observed latencies on the loads that reports predicted. */
export interface ReportTrust {
    readonly samples: number;
    readonly meanLoad: number;
    readonly meanLatency: number;
    readonly variance: number;
    readonly covariance: number;
}
