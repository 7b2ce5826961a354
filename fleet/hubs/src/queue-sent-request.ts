import type { HubState } from "./hub-state.js";

/** Queues a notice of a request that was sent to a backend server. */
export const queueSentRequest = (state: HubState, sentRequest: {
    readonly atMs: number;
    readonly instanceId: string;
    readonly sentAtMs: number;
}): HubState => {
    const { outbox } = state;
    const { instanceId, sentAtMs } = sentRequest;
    const sentRequests = [...outbox.sentRequests, { instanceId, sentAtMs }];
    return { ...state, outbox: { ...outbox, sentRequests, queuedSinceMs: outbox.queuedSinceMs ?? sentRequest.atMs } };
};
