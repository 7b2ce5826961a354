/** Condition of a backend server, as reported by one daemon. */
export interface BackendServerReport {
    readonly service: string;
    readonly address: string;
    readonly vmId: string;
    readonly condition: string;
}
