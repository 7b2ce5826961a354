import type { HubState } from "./hub-state.js";
import type { LoadNews } from "./load-news.js";

/** Puts loads into the outbox where no newer ones wait there. */
export const addLoadNews = (state: HubState, news: {
    readonly atMs: number;
    readonly loads: readonly LoadNews[];
    readonly isOfOwnZone: boolean;
}): HubState => {
    const { atMs, isOfOwnZone } = news;
    const { outbox } = state;
    if (news.loads.length === 0) {
        return state;
    }
    const loads = new Map(outbox.loads);
    for (const { instanceId, load, ageMs } of news.loads) {
        const measuredAtMs = atMs - ageMs;
        const waiting = loads.get(instanceId);
        if (waiting === undefined || waiting.measuredAtMs < measuredAtMs) {
            const { inFlight, queued, slots, slownessPercent } = load;
            loads.set(instanceId, { inFlight, queued, slots, slownessPercent, measuredAtMs, isOfOwnZone });
        }
    }
    return { ...state, outbox: { ...outbox, loads, sinceMs: outbox.sinceMs ?? atMs } };
};
