import { hashText } from "@marigoldstall/core.hash";
import { compareHubPriority } from "./compare-hub-priority.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectHubRank } from "./select-hub-rank.js";
import { selectHubs } from "./select-hubs.js";
import { selectLiveHub } from "./select-live-hub.js";
import { selectLiveVms } from "./select-live-vms.js";
import type { VmInfo } from "./vm-info.js";

/**
 * `assigned`: this VM probes the server at every probe interval. `fallback`: only if the VM to which it is assigned
 * does not.
 */
type ProbeAssignment = "assigned" | "fallback" | "none";

// The hub probes first; further VMs of the zone help by their priority when the zone has many servers.
const selectProbers = (
    state: HubState,
    opts: { readonly atMs: number; readonly count: number; },
): readonly VmInfo[] => {
    const hub = state.isHub ? state.self : selectLiveHub(state, opts.atMs);
    const zoneVms = selectLiveVms(state, opts.atMs)
        .map(({ info }) => info)
        .filter(info => info.availabilityZone === state.self.availabilityZone);
    return [...zoneVms, state.self]
        .sort((a, b) => Number(b.vmId === hub?.vmId) - Number(a.vmId === hub?.vmId) || compareHubPriority(a, b))
        .slice(0, opts.count);
};

/**
 * Returns a function that tells which servers this VM probes, or undefined if it probes none. The servers of a zone are divided among its hub and as
 * many further VMs as their number needs. The hub takes over what an assigned VM leaves out. The hub with the highest
 * priority also probes zones without live VMs.
 */
export const selectProbeAssignment = (
    state: HubState,
    opts: { readonly atMs: number; readonly zoneServerCount: number; },
): ((server: { readonly instanceId: string; readonly availabilityZone: string; }) => ProbeAssignment) | undefined => {
    const { atMs } = opts;
    const { self, isHub } = state;
    const count = Math.max(1, Math.ceil(opts.zoneServerCount / HUB_LIMITS.serversPerProber));
    // Most VMs can tell without a list of the others that they do not probe.
    if (!isHub && (count === 1 || selectHubRank(state, atMs) >= count)) {
        return undefined;
    }
    const probers = count === 1 ? [self] : selectProbers(state, { atMs, count });
    const ownIndex = probers.findIndex(({ vmId }) => vmId === self.vmId);
    if (!isHub && ownIndex < 0) {
        return undefined;
    }
    const hubs = isHub ? selectHubs(state, atMs) : new Map<string, VmInfo>();
    const isFirstHub = isHub
        && [...hubs].every(([zone, hub]) => zone === self.availabilityZone || compareHubPriority(self, hub) < 0);
    return ({ instanceId, availabilityZone }) => {
        if (availabilityZone !== self.availabilityZone) {
            return isFirstHub && !hubs.has(availabilityZone) ? "assigned" : "none";
        }
        if (ownIndex >= 0 && hashText(instanceId) % probers.length === ownIndex) {
            return "assigned";
        }
        return isHub ? "fallback" : "none";
    };
};
