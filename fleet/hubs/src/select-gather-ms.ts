import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { isAlive } from "./is-alive.js";

/** How long news wait in the outbox for more. */
export const selectGatherMs = (state: HubState, atMs: number): number => {
    if (!state.isHub) {
        return HUB_LIMITS.memberGatherMs;
    }
    let memberCount = 0;
    // Runs after each event of a busy hub, so that it makes no list of the members.
    for (const vm of state.vms.values()) {
        if (vm.info.availabilityZone === state.self.availabilityZone && isAlive(vm, atMs)) {
            memberCount += 1;
        }
    }
    return Math.max(HUB_LIMITS.hubGatherMs, memberCount * HUB_LIMITS.hubGatherPerMemberMs);
};
