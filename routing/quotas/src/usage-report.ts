/** Counts of admitted requests by tenant: of a member for its hub, of a hub for its zone. */
export interface UsageReport {
    /** Identifies the process that counts. */
    readonly reporterId: string;
    /** Increases with each report, so that late and repeated ones are ignored. */
    readonly sequence: number;
    readonly tenants: readonly ReportedTenant[];
}

interface ReportedTenant {
    readonly name: string;
    /** Admitted requests since the reporter began to count, less those that were released. */
    readonly total: number;
    /** Those of the last window, for a receiver that does not know the reporter's earlier total. */
    readonly recent: number;
}
