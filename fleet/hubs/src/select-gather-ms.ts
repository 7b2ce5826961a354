import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";

/** How long news wait in the outbox for more. */
export const selectGatherMs = (state: HubState, atMs: number): number => {
    if (!state.isHub) {
        return HUB_LIMITS.memberGatherMs;
    }
    let memberCount = 0;
    for (const { info, aliveAtMs } of state.vms.values()) {
        if (info.availabilityZone === state.self.availabilityZone && atMs - aliveAtMs <= HUB_LIMITS.vmForgottenMs) {
            memberCount += 1;
        }
    }
    return Math.max(HUB_LIMITS.hubGatherMs, memberCount * HUB_LIMITS.hubGatherPerMemberMs);
};
