import type { HubState } from "./hub-state.js";

/** Marks the counts of tenants' requests for the next message. */
export const queueUsage = (state: HubState, atMs: number): HubState => ({
    ...state,
    outbox: { ...state.outbox, hasChangedUsage: true, queuedSinceMs: state.outbox.queuedSinceMs ?? atMs },
});
