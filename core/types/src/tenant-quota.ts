/** Limit on the requests of a tenant over all VMs. */
export interface TenantQuota {
    readonly requestsPerSecond: number;
    /** Requests beyond the rate in any window. */
    readonly burstRequests: number;
}
