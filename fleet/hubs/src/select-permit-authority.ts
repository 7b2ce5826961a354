import type { HubState } from "./hub-state.js";
import { selectHubs } from "./select-hubs.js";
import { selectLiveHub } from "./select-live-hub.js";
import type { VmInfo } from "./vm-info.js";

/**
 * The VM that grants permits for the servers of a zone: its hub, so that one VM counts the requests of the whole fleet.
 * If no VM of that zone is known, the hub of the first zone takes its place. Undefined while that hub is not heard.
 */
export const selectPermitAuthority = (state: HubState, zone: string, atMs: number): VmInfo | undefined => {
    const ownZone = state.self.availabilityZone;
    const hubs = selectHubs(state, atMs);
    const knownZones = [ownZone, ...hubs.keys()];
    const grantingZone = knownZones.includes(zone) ? zone : knownZones.sort()[0];
    if (grantingZone !== ownZone) {
        return hubs.get(grantingZone ?? "");
    }
    return state.isHub ? state.self : selectLiveHub(state, atMs);
};
