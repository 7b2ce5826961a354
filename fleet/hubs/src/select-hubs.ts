import { compareHubPriority } from "./compare-hub-priority.js";
import type { HubState } from "./hub-state.js";
import { selectHubTimeoutMs } from "./select-hub-timeout-ms.js";
import { selectLiveVms } from "./select-live-vms.js";
import type { VmInfo } from "./vm-info.js";

/**
 * The hub of each zone, as far as this VM knows the zone: the active one if there is one, otherwise the live VM with
 * the highest hub priority. This VM itself is left out.
 */
export const selectHubs = (state: HubState, atMs: number): ReadonlyMap<string, VmInfo> => {
    const hubTimeoutMs = selectHubTimeoutMs(state, atMs);
    const hubs = new Map<string, { readonly info: VmInfo; readonly isActive: boolean; }>();
    for (const vm of selectLiveVms(state, atMs)) {
        const zone = vm.info.availabilityZone;
        const isActive = atMs - vm.lastSeenAsHubAtMs <= hubTimeoutMs;
        const best = hubs.get(zone);
        const isBetter = best === undefined || (isActive && !best.isActive)
            || (isActive === best.isActive && compareHubPriority(vm.info, best.info) < 0);
        if (isBetter) {
            hubs.set(zone, { info: vm.info, isActive });
        }
    }
    return new Map([...hubs].map(([zone, hub]) => [zone, hub.info]));
};
