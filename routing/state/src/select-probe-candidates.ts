import { ROUTING_LIMITS } from "./routing-limits.js";
import type { RoutingState } from "./routing-state.js";

/**
 * Addresses of the backend servers to probe next, the one with the oldest information first. They are few, since a
 * daemon has few probe units and the list is made anew for each tick. Ejected and leaving ones are among them: a
 * probe is how they come back.
 */
export const selectProbeCandidates = (state: RoutingState, atMs: number): readonly string[] => {
    const oldest: { readonly address: string; readonly informedAtMs: number; }[] = [];
    for (const service of state.services) {
        for (const { address, informedAtMs } of service.servers) {
            const last = oldest.at(-1);
            const full = oldest.length >= ROUTING_LIMITS.probeCandidates;
            if (informedAtMs >= atMs || full && last !== undefined && last.informedAtMs <= informedAtMs) {
                continue;
            }
            const index = oldest.findIndex(other => other.informedAtMs > informedAtMs);
            oldest.splice(index < 0 ? oldest.length : index, 0, { address, informedAtMs });
            oldest.splice(ROUTING_LIMITS.probeCandidates);
        }
    }
    return oldest.map(({ address }) => address);
};
