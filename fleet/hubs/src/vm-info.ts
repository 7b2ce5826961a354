/** A VM of the fleet, as it describes itself. */
export interface VmInfo {
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly host: string;
    readonly cores: number;
    readonly linkMbps: number;
}
