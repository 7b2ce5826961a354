import { compareVms } from "./compare-vms.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectLiveVms } from "./select-live-vms.js";
import type { VmInfo } from "./vm-info.js";

/** The hub of each other zone, heard lately if there is one, else the VM that would be next. */
export const selectHubs = (state: HubState, atMs: number): ReadonlyMap<string, VmInfo> => {
    const hubs = new Map<string, { readonly info: VmInfo; readonly isHeard: boolean; }>();
    for (const vm of selectLiveVms(state, atMs)) {
        const zone = vm.info.availabilityZone;
        const isHeard = atMs - vm.hubAtMs <= HUB_LIMITS.hubSilenceMs;
        const best = hubs.get(zone);
        const isBetter = best === undefined || (isHeard && !best.isHeard)
            || (isHeard === best.isHeard && compareVms(vm.info, best.info) < 0);
        if (isBetter) {
            hubs.set(zone, { info: vm.info, isHeard });
        }
    }
    return new Map([...hubs].map(([zone, hub]) => [zone, hub.info]));
};
