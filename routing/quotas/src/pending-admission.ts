/** A request that waits for the answer of the hub. */
export interface PendingAdmission {
    readonly requestKey: string;
    readonly tenantName: string;
    readonly askedAtMs: number;
    readonly queries: number;
}
