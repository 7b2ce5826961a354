import type { ViewSummary } from "@marigoldstall/fleet.view";
import type { HeardVm } from "./heard-vm.js";
import type { LoadNews } from "./load-news.js";
import type { SendingNews } from "./sending-news.js";
import type { VmInfo } from "./vm-info.js";

/** One datagram between daemons. */
export interface FleetMessage {
    readonly sender: VmInfo;
    readonly isHub: boolean;
    readonly summary: ViewSummary;
    readonly loads: readonly LoadNews[];
    readonly sendings: readonly SendingNews[];
    /** VMs that the sender heard of lately, told from time to time. */
    readonly vms: readonly HeardVm[];
}
