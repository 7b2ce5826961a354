/** Description of an entry VM. Each VM publishes its own. */
export interface VmInfo {
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly host: string;
    readonly cores: number;
    readonly linkMbps: number;
}
