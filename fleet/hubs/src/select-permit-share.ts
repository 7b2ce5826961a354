import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";

/**
 * Share of a server's limit that this hub grants. VMs that were heard lately and no longer are may have another hub that
 * grants permits for the same server, so their part is left to them.
 */
export const selectPermitShare = (state: HubState, zone: string, atMs: number): number => {
    const isOwnZone = zone === state.self.availabilityZone;
    let liveCount = 1;
    let knownCount = 1;
    for (const vm of state.vms.values()) {
        const counts = !isOwnZone || vm.info.availabilityZone === zone;
        if (counts && atMs - vm.lastSeenAtMs <= HUB_LIMITS.forgottenVmMs) {
            knownCount += 1;
            liveCount += atMs - vm.lastSeenAtMs <= HUB_LIMITS.permitLivenessMs ? 1 : 0;
        }
    }
    return liveCount / knownCount;
};
