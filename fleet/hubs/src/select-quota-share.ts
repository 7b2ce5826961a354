import { countHeardVms } from "./count-heard-vms.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";

interface ZoneVms {
    readonly known: number;
    readonly hubHeardAtMs: number;
}

const groupByZone = (state: HubState, atMs: number): ReadonlyMap<string, ZoneVms> => {
    const zones = new Map<string, ZoneVms>([[state.self.availabilityZone, { known: 1, hubHeardAtMs: atMs }]]);
    for (const { info, lastSeenAtMs, lastSeenAsHubAtMs } of state.vms.values()) {
        if (atMs - lastSeenAtMs <= HUB_LIMITS.forgottenVmMs) {
            const { known, hubHeardAtMs } = zones.get(info.availabilityZone) ?? { known: 0, hubHeardAtMs: -Infinity };
            zones.set(info.availabilityZone, {
                known: known + 1,
                hubHeardAtMs: Math.max(hubHeardAtMs, lastSeenAsHubAtMs),
            });
        }
    }
    return zones;
};

/**
 * Part of the fleet whose use of quotas this hub learns: the VMs of its zone that it hears, and those that the hubs of
 * the other zones hear, of all that were known lately. The others may act on their own, so their part is left to them.
 * A VM that has not found the others yet has no part.
 */
export const selectQuotaShare = (state: HubState, atMs: number): number => {
    if (!state.hasJoined) {
        return 0;
    }
    let heardCount = 0;
    let knownCount = 0;
    for (const [zone, { known, hubHeardAtMs }] of groupByZone(state, atMs)) {
        knownCount += known;
        if (zone === state.self.availabilityZone) {
            heardCount += Math.min(known, countHeardVms(state, atMs));
        }
        else if (atMs - hubHeardAtMs <= HUB_LIMITS.zoneHubTimeoutMs) {
            heardCount += Math.min(known, state.zoneReach.get(zone) ?? known);
        }
    }
    return heardCount / knownCount;
};
