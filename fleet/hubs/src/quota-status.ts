/** What a hub tells others so that tenants stay within their quotas. */
export interface QuotaStatus {
    /** Number of VMs of its zone that it hears, itself included. */
    readonly heardVms: number;
    /** Tenants whose requests are granted one by one. */
    readonly metered: readonly string[] | "all";
}
