/** Options of {@link vmSettings}. */
export interface VmSettingsOptions {
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly host: string;
    readonly ports: {
        readonly caller: number;
        readonly ready: number;
        readonly control: number;
        readonly fleet: number;
    };
    readonly heartbeatMs: number;
    readonly storeAddress: string;
    /** Control addresses of VMs that a starting VM asks for the others. */
    readonly seedAddresses: readonly string[];
    /** Whether the whole system starts for the first time. Default: false. */
    readonly isFirstStart?: boolean;
}
