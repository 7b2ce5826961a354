import type { HubState } from "./hub-state.js";
import type { LoadUpdate } from "./load-update.js";

/** Queues load reports for sending, unless a newer one of the same backend server is already queued. */
export const queueLoadUpdates = (state: HubState, update: {
    readonly atMs: number;
    readonly loads: readonly LoadUpdate[];
}): HubState => {
    const { atMs } = update;
    const { outbox } = state;
    if (update.loads.length === 0) {
        return state;
    }
    const loads = new Map(outbox.loads);
    for (const { instanceId, load, ageMs } of update.loads) {
        const measuredAtMs = atMs - ageMs;
        const queuedLoad = loads.get(instanceId);
        if (queuedLoad === undefined || queuedLoad.measuredAtMs < measuredAtMs) {
            const { inFlight, queued, slots, slownessPercent } = load;
            loads.set(instanceId, { inFlight, queued, slots, slownessPercent, measuredAtMs });
        }
    }
    return { ...state, outbox: { ...outbox, loads, queuedSinceMs: outbox.queuedSinceMs ?? atMs } };
};
