import type { HubState } from "./hub-state.js";
import { isAlive } from "./is-alive.js";

/** Number of other live VMs in this VM's zone. Builds no list, because it runs after every event of a busy hub. */
export const countZoneMembers = (state: HubState, atMs: number): number => {
    let count = 0;
    for (const vm of state.vms.values()) {
        if (vm.info.availabilityZone === state.self.availabilityZone && isAlive(vm, atMs)) {
            count += 1;
        }
    }
    return count;
};
