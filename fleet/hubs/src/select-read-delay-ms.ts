import { compareHubPriority } from "./compare-hub-priority.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectHubRank } from "./select-hub-rank.js";
import { selectHubs } from "./select-hubs.js";

/** How much longer than the first hub this VM waits before it reads the store itself. */
export const selectReadDelayMs = (state: HubState, atMs: number): number => {
    if (!state.hasJoined && !state.isHub) {
        return HUB_LIMITS.maxReadDelayMs;
    }
    if (!state.isHub) {
        const delayMs = HUB_LIMITS.memberReadDelayMs + HUB_LIMITS.memberReadDelayStepMs * selectHubRank(state, atMs);
        return Math.min(delayMs, HUB_LIMITS.maxReadDelayMs);
    }
    const precedingHubs = [...selectHubs(state, atMs)].filter(([zone, hub]) =>
        zone !== state.self.availabilityZone && compareHubPriority(hub, state.self) < 0
    );
    return HUB_LIMITS.hubReadDelayStepMs * precedingHubs.length;
};
