import type { LoadReport } from "@marigoldstall/core.types";
import type { HubState } from "./hub-state.js";
import type { LoadUpdate } from "./load-update.js";
import type { WarmUpUpdate } from "./warm-up-update.js";

type OutboxWarmUp = HubState["outbox"]["loads"] extends ReadonlyMap<string, infer Load>
    ? Load extends { readonly warmUp: infer WarmUp; } ? WarmUp : never
    : never;

const selectWarmUp = (opts: {
    readonly load: LoadReport;
    readonly measuredAtMs: number;
    /** What a member tells of the warm-up. */
    readonly update: WarmUpUpdate | undefined;
    readonly atMs: number;
}): OutboxWarmUp => {
    const { load: { coldForMs }, measuredAtMs, update, atMs } = opts;
    if (coldForMs !== undefined) {
        return { coldUntilMs: measuredAtMs + coldForMs, statedAtMs: measuredAtMs };
    }
    return update && { coldUntilMs: atMs + update.remainingMs, statedAtMs: atMs - update.ageMs };
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
