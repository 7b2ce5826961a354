import type { LoadReport, WarmUp } from "@marigoldstall/core.types";
import type { HubState } from "./hub-state.js";
import type { LoadUpdate } from "./load-update.js";
import { toWarmUp } from "./to-warm-up.js";
import type { WarmUpUpdate } from "./warm-up-update.js";

const selectWarmUp = (opts: {
    readonly load: LoadReport;
    readonly measuredAtMs: number;
    /** What a member tells of the warm-up. */
    readonly update: WarmUpUpdate | undefined;
    readonly atMs: number;
}): WarmUp | undefined => {
    const { load: { coldForMs }, measuredAtMs, update, atMs } = opts;
    if (coldForMs !== undefined) {
        return { coldUntilMs: measuredAtMs + coldForMs, statedAtMs: measuredAtMs };
    }
    return toWarmUp(update, atMs);
};

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
    for (const { instanceId, load, ageMs, warmUp: reported } of update.loads) {
        const measuredAtMs = atMs - ageMs;
        const queuedLoad = loads.get(instanceId);
        if (queuedLoad === undefined || queuedLoad.measuredAtMs < measuredAtMs) {
            const { inFlight, queued, slots, slownessPercent } = load;
            // A later report need not state the warm-up.
            const warmUp = selectWarmUp({ load, measuredAtMs, update: reported, atMs }) ?? queuedLoad?.warmUp;
            loads.set(instanceId, { inFlight, queued, slots, slownessPercent, measuredAtMs, warmUp });
        }
    }
    return { ...state, outbox: { ...outbox, loads, queuedSinceMs: outbox.queuedSinceMs ?? atMs } };
};
