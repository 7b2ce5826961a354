/** Asks the hub whether a request is within the quota of its tenant. */
export interface QuotaQuery {
    readonly type: "quota-query";
    /** Identifies the process that asks in its reports. */
    readonly reporterId: string;
    readonly requestKey: string;
    readonly tenantName: string;
}
