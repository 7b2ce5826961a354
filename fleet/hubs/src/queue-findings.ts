import type { HubState } from "./hub-state.js";

/** Queues the findings, which changed, for sending. */
export const queueFindings = (state: HubState, atMs: number): HubState => {
    const { outbox } = state;
    const queuedSinceMs = outbox.queuedSinceMs ?? atMs;
    return { ...state, outbox: { ...outbox, hasChangedFindings: true, queuedSinceMs } };
};
