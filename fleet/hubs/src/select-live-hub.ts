import { compareHubPriority } from "./compare-hub-priority.js";
import type { HubState } from "./hub-state.js";
import { selectHubTimeoutMs } from "./select-hub-timeout-ms.js";
import type { VmInfo } from "./vm-info.js";

/** The hub of this VM's zone, if it is another VM from which a message arrived lately. */
export const selectLiveHub = (state: HubState, atMs: number): VmInfo | undefined => {
    const heardSinceMs = atMs - selectHubTimeoutMs(state, atMs);
    let hub: VmInfo | undefined;
    for (const { info, lastSeenAsHubAtMs } of state.vms.values()) {
        const isHeard = lastSeenAsHubAtMs >= heardSinceMs && info.availabilityZone === state.self.availabilityZone;
        if (isHeard && (hub === undefined || compareHubPriority(info, hub) < 0)) {
            hub = info;
        }
    }
    return hub;
};
