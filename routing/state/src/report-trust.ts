/** Running regression of observed latency on the load predicted from reports. */
export interface ReportTrust {
    readonly samples: number;
    readonly meanLoad: number;
    readonly meanLatency: number;
    readonly variance: number;
    readonly covariance: number;
}
