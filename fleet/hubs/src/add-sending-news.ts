import type { HubState } from "./hub-state.js";

/** Puts a sent request into the outbox. */
export const addSendingNews = (state: HubState, news: {
    readonly atMs: number;
    readonly instanceId: string;
    readonly sentAtMs: number;
    readonly isOfOwnZone: boolean;
}): HubState => {
    const { outbox } = state;
    const { instanceId, sentAtMs, isOfOwnZone } = news;
    const sendings = [...outbox.sendings, { instanceId, sentAtMs, isOfOwnZone }];
    return { ...state, outbox: { ...outbox, sendings, sinceMs: outbox.sinceMs ?? news.atMs } };
};
