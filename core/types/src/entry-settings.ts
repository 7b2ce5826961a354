/** Settings of the daemon on an entry VM, as the platform gives them. */
export interface EntrySettings {
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly host: string;
    readonly listen: {
        readonly caller: string;
        readonly ready: string;
        /** For calls between the daemons. */
        readonly control: string;
    };
    /** Port on which the daemons of all VMs exchange datagrams. */
    readonly fleetPort: number;
    /** Control addresses of other VMs, some of which may be gone. */
    readonly seedAddresses: readonly string[];
    /** Whole system starts for the first time, so no other VM knows more than this one. */
    readonly isFirstStart: boolean;
    /** Processor time that this VM has, in cores. */
    readonly cores: number;
    readonly linkMbps: number;
    readonly storeAddress: string;
    /** Interval at which backend servers renew their registration. */
    readonly heartbeatMs: number;
    readonly retryBudget: {
        /** Retries that a service may get, as a share of the requests for it. */
        readonly ratio: number;
        readonly windowMs: number;
        /** Retries that a service may get in a window besides its share, over the whole fleet. */
        readonly extra: number;
    };
    /** Time between the signal to stop and the kill. */
    readonly stopGraceMs: number;
    /** Health checks that one backend server may get in a second from the whole fleet. */
    readonly maxProbesPerSecond: number;
}
