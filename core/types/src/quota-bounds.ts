/** How far the requests of a tenant may exceed its quota over all VMs. */
export interface QuotaBounds {
    readonly windowMs: number;
    /** Requests in a window beyond the quota, as a share of it. */
    readonly overShare: number;
    /** Further requests in a window. */
    readonly slackRequests: number;
}
