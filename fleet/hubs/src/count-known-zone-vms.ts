import type { HubState } from "./hub-state.js";

type Vms = HubState["vms"];

// The map is replaced whenever one of its VMs is seen, and the counts are asked for after every event.
const countsByVms = new WeakMap<Vms, ReadonlyMap<string, number>>();

const countByZone = (vms: Vms): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const { info: { availabilityZone } } of vms.values()) {
        counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1);
    }
    return counts;
};

/** Number of other VMs in this VM's zone, live or not. */
export const countKnownZoneVms = ({ vms, self }: Pick<HubState, "vms" | "self">): number => {
    const counts = countsByVms.get(vms) ?? countByZone(vms);
    countsByVms.set(vms, counts);
    return counts.get(self.availabilityZone) ?? 0;
};
