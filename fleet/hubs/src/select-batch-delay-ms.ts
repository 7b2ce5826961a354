import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { isAlive } from "./is-alive.js";

/** How long updates are batched in the outbox before they are sent. */
export const selectBatchDelayMs = (state: HubState, atMs: number): number => {
    if (!state.isHub) {
        return HUB_LIMITS.memberBatchDelayMs;
    }
    let memberCount = 0;
    // Counts without building a list of the members, because this runs after every event of a busy hub.
    for (const vm of state.vms.values()) {
        if (vm.info.availabilityZone === state.self.availabilityZone && isAlive(vm, atMs)) {
            memberCount += 1;
        }
    }
    return Math.max(HUB_LIMITS.hubBatchDelayMs, memberCount * HUB_LIMITS.hubBatchDelayPerMemberMs);
};
