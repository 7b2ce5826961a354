import type { HubState } from "./hub-state.js";
import { selectLiveVms } from "./select-live-vms.js";

/** Number of live VMs in the fleet. A member knows only its own zone and takes the number from its hub. */
export const selectFleetSize = (state: HubState, atMs: number): number =>
    Math.max(1 + selectLiveVms(state, atMs).length, state.isHub ? 0 : state.reportedFleetSize);
