import { compareVms } from "./compare-vms.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectHubRank } from "./select-hub-rank.js";
import { selectHubs } from "./select-hubs.js";

/** How much longer than the first reader this VM waits before it reads the store for itself. */
export const selectReadDelayMs = (state: HubState, atMs: number): number => {
    if (!state.isHub) {
        const delayMs = HUB_LIMITS.memberReadDelayMs + HUB_LIMITS.memberReaderStepMs * selectHubRank(state, atMs);
        return Math.min(delayMs, HUB_LIMITS.maxReadDelayMs);
    }
    const ahead = [...selectHubs(state, atMs)].filter(([zone, hub]) =>
        zone !== state.self.availabilityZone && compareVms(hub, state.self) < 0
    );
    return HUB_LIMITS.readerStepMs * ahead.length;
};
