import { compareHubPriority } from "./compare-hub-priority.js";
import type { HubState } from "./hub-state.js";
import { selectLiveVms } from "./select-live-vms.js";

/** Number of live VMs in this VM's zone with a higher hub priority. */
export const selectHubRank = (state: HubState, atMs: number): number =>
    selectLiveVms(state, atMs).filter(vm =>
        vm.info.availabilityZone === state.self.availabilityZone && compareHubPriority(vm.info, state.self) < 0
    ).length;
