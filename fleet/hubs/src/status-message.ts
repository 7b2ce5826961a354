import type { ViewSummary } from "@marigoldstall/fleet.view";
import type { QuotaStatus } from "./quota-status.js";
import type { VmInfo } from "./vm-info.js";
import type { VmLiveness } from "./vm-liveness.js";

/** Heartbeat of a VM: of a hub to its members and the other hubs, of a member to its hub. */
export interface StatusMessage {
    readonly type: "status";
    readonly sender: VmInfo;
    readonly isHub: boolean;
    readonly summary: ViewSummary;
    /**
     * VMs of the sender's zone, and the hubs of the others. A hub sends them at a longer interval, so most messages
     * contain none.
     */
    readonly vms: readonly VmLiveness[];
    /** Number of live VMs of all zones that the sender knows. */
    readonly fleetSize: number;
    /** What a hub tells of quotas. Undefined without quotas, and from VMs of earlier releases. */
    readonly quotas?: QuotaStatus | undefined;
}
