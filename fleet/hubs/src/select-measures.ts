import { compareVms } from "./compare-vms.js";
import type { HubState } from "./hub-state.js";
import { selectHubs } from "./select-hubs.js";

/**
 * Whether this VM measures the backend servers of a zone: as the hub of that zone, or as the first of all hubs when no
 * VM lives there.
 */
export const selectMeasures = (state: HubState, atMs: number): (zone: string) => boolean => {
    if (!state.isHub) {
        return () => false;
    }
    const hubs = selectHubs(state, atMs);
    const isFirst = [...hubs].every(([zone, hub]) =>
        zone === state.self.availabilityZone || compareVms(state.self, hub) < 0
    );
    return zone => zone === state.self.availabilityZone || (isFirst && !hubs.has(zone));
};
