import { compareHubPriority } from "./compare-hub-priority.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { isAlive } from "./is-alive.js";

/** The hosts of the VMs that a hub tries to reach next, although they are not counted as live. */
export const selectReconnectTargets = (state: HubState, atMs: number): readonly string[] => {
    const { availabilityZone } = state.self;
    const silent = [...state.vms.values()]
        .filter(vm => !isAlive(vm, atMs) && atMs - vm.lastSeenAtMs <= HUB_LIMITS.reconnectForMs)
        .map(({ info }) => info)
        .sort((a, b) =>
            Number(b.availabilityZone === availabilityZone) - Number(a.availabilityZone === availabilityZone)
            || compareHubPriority(a, b)
        );
    // The first one is the hub of its part of the zone, if it runs.
    const [first, ...others] = silent;
    const next = others[state.reconnectAttempts % Math.max(1, others.length)];
    return [first, next].flatMap(info => info?.host ?? []);
};
