import type { ColdBounds } from "./cold-bounds.js";
import type { QuotaBounds } from "./quota-bounds.js";

/** Settings of the daemon on an entry VM, provided by the platform. */
export interface EntrySettings {
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly host: string;
    readonly listen: {
        readonly caller: string;
        readonly ready: string;
        /** Address for RPC between the daemons. */
        readonly control: string;
    };
    /** UDP port on which the daemons of all VMs exchange datagrams. */
    readonly fleetPort: number;
    /** Control addresses of other VMs, some of which may no longer exist. */
    readonly seedAddresses: readonly string[];
    /** Whether the whole system starts for the first time, so that no other VM has state to share. */
    readonly isFirstStart: boolean;
    /** CPU share of this VM, in cores. */
    readonly cores: number;
    readonly linkMbps: number;
    readonly storeAddress: string;
    /** Interval at which backend servers renew their registration. */
    readonly heartbeatMs: number;
    readonly retryBudget: {
        /** Retries allowed for a service, as a share of its requests. */
        readonly ratio: number;
        readonly windowMs: number;
        /** Additional retries allowed for a service in each window, across the whole fleet. */
        readonly extra: number;
    };
    /** Time between SIGTERM and SIGKILL. */
    readonly stopGraceMs: number;
    /** Maximum rate of health checks that one backend server may receive from the whole fleet. */
    readonly maxProbesPerSecond: number;
    /** Memory at which the platform ends the process. */
    readonly memoryBytes: number;
    /** Descriptors that the process may open. */
    readonly maxDescriptors: number;
    /**
     * Time after which a revoked API key must not work on any VM, also on one that cannot reach the store. Undefined if
     * only VMs that reach it are bound.
     */
    readonly keyRevocationMs?: number | undefined;
    /** Undefined if quotas are not limited over all VMs. */
    readonly quotaBounds?: QuotaBounds | undefined;
    /** Undefined if requests to cold servers are not limited. */
    readonly coldBounds?: ColdBounds | undefined;
}
