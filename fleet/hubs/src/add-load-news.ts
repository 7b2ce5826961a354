import type { LoadReport } from "@marigoldstall/core.types";
import type { HubState } from "./hub-state.js";

/** Puts a load into the outbox unless a newer one waits there. */
export const addLoadNews = (state: HubState, news: {
    readonly atMs: number;
    readonly instanceId: string;
    readonly load: LoadReport;
    readonly measuredAtMs: number;
    readonly isOfOwnZone: boolean;
}): HubState => {
    const { outbox } = state;
    const waiting = outbox.loads.get(news.instanceId);
    if (waiting !== undefined && waiting.measuredAtMs >= news.measuredAtMs) {
        return state;
    }
    const { inFlight, queued, slots, slownessPercent } = news.load;
    const loads = new Map(outbox.loads).set(news.instanceId, {
        inFlight,
        queued,
        slots,
        slownessPercent,
        measuredAtMs: news.measuredAtMs,
        isOfOwnZone: news.isOfOwnZone,
    });
    return { ...state, outbox: { ...outbox, loads, sinceMs: outbox.sinceMs ?? news.atMs } };
};
