import { compareHubPriority } from "./compare-hub-priority.js";
import type { HubState } from "./hub-state.js";
import { selectHubs } from "./select-hubs.js";

/**
 * Returns a predicate that tells whether this VM probes the backend servers of a zone: it does as the hub of the zone,
 * or as the hub with the highest priority if the zone has no live VM.
 */
export const selectProbedZoneFilter = (state: HubState, atMs: number): (zone: string) => boolean => {
    if (!state.isHub) {
        return () => false;
    }
    const hubs = selectHubs(state, atMs);
    const isFirst = [...hubs].every(([zone, hub]) =>
        zone === state.self.availabilityZone || compareHubPriority(state.self, hub) < 0
    );
    return zone => zone === state.self.availabilityZone || (isFirst && !hubs.has(zone));
};
