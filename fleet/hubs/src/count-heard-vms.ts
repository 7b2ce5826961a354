import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";

/** Number of VMs of this zone that this VM hears directly, itself included. */
export const countHeardVms = (state: HubState, atMs: number): number => {
    let count = 1;
    for (const { info, lastHeardAtMs } of state.vms.values()) {
        const isInZone = info.availabilityZone === state.self.availabilityZone;
        count += isInZone && atMs - lastHeardAtMs <= HUB_LIMITS.permitLivenessMs ? 1 : 0;
    }
    return count;
};
