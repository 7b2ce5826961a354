import { compareHubPriority } from "./compare-hub-priority.js";
import type { HubState } from "./hub-state.js";
import { isAlive } from "./is-alive.js";

/** Number of live VMs in this VM's zone with a higher hub priority. */
export const selectHubRank = (state: HubState, atMs: number): number => {
    const { self } = state;
    let rank = 0;
    for (const vm of state.vms.values()) {
        const isInZone = vm.info.availabilityZone === self.availabilityZone;
        if (isInZone && isAlive(vm, atMs) && compareHubPriority(vm.info, self) < 0) {
            rank += 1;
        }
    }
    return rank;
};
