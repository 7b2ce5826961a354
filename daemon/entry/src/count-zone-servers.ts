import type { EntryState } from "./entry-state.js";

type Servers = EntryState["view"]["servers"];

// The map is replaced when a registration changes, and the counts are asked for many times a second.
const countsByServers = new WeakMap<Servers, ReadonlyMap<string, number>>();

const countByZone = (servers: Servers): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const { server: { availabilityZone } } of servers.values()) {
        counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1);
    }
    return counts;
};

/** Number of registered servers in this VM's zone. */
export const countZoneServers = ({ view: { servers }, hub: { self } }: Pick<EntryState, "view" | "hub">): number => {
    const counts = countsByServers.get(servers) ?? countByZone(servers);
    countsByServers.set(servers, counts);
    return counts.get(self.availabilityZone) ?? 0;
};
