import type { ViewSummary } from "@marigoldstall/fleet.view";
import type { LoadUpdate } from "./load-update.js";
import type { SentRequest } from "./sent-request.js";
import type { VmInfo } from "./vm-info.js";
import type { VmLiveness } from "./vm-liveness.js";

/** A datagram between daemons. */
export interface FleetMessage {
    readonly sender: VmInfo;
    readonly isHub: boolean;
    readonly summary: ViewSummary;
    readonly loads: readonly LoadUpdate[];
    readonly sentRequests: readonly SentRequest[];
    /** VMs that the sender considers live. A hub sends them at a longer interval, so most messages contain none. */
    readonly vms: readonly VmLiveness[];
}
