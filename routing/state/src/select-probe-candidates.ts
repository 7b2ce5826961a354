import { ROUTING_LIMITS } from "./routing-limits.js";
import type { RoutingState } from "./routing-state.js";

/**
 * Returns the addresses of the backend servers to probe next, the one with the oldest information first. The list is
 * short, since a daemon has few probe units and the list is rebuilt on each tick. It includes ejected and leaving
 * servers, which recover through a probe.
 */
export const selectProbeCandidates = (state: RoutingState, atMs: number): readonly string[] => {
    const oldest: { readonly address: string; readonly lastObservedAtMs: number; }[] = [];
    for (const service of state.services) {
        for (const { address, lastObservedAtMs } of service.servers) {
            const last = oldest.at(-1);
            const full = oldest.length >= ROUTING_LIMITS.maxProbeCandidates;
            if (lastObservedAtMs >= atMs || full && last !== undefined && last.lastObservedAtMs <= lastObservedAtMs) {
                continue;
            }
            const index = oldest.findIndex(other => other.lastObservedAtMs > lastObservedAtMs);
            oldest.splice(index < 0 ? oldest.length : index, 0, { address, lastObservedAtMs });
            oldest.splice(ROUTING_LIMITS.maxProbeCandidates);
        }
    }
    return oldest.map(({ address }) => address);
};
