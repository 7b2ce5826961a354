/** How one daemon sees one backend server. */
export interface BackendServerReport {
    readonly service: string;
    readonly address: string;
    readonly vmId: string;
    readonly condition: string;
}
