import { compareVms } from "./compare-vms.js";
import type { HubState } from "./hub-state.js";
import { selectLiveVms } from "./select-live-vms.js";

/** Number of live VMs of the own zone that become hub before this one. */
export const selectHubRank = (state: HubState, atMs: number): number =>
    selectLiveVms(state, atMs).filter(vm =>
        vm.info.availabilityZone === state.self.availabilityZone && compareVms(vm.info, state.self) < 0
    ).length;
