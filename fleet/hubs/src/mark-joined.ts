import type { HubState } from "./hub-state.js";

/** Records that this VM knows other VMs, so that it expects to hear a hub from now on. */
export const markJoined = (state: HubState, atMs: number): HubState => ({
    ...state,
    hasJoined: true,
    expectsHubSinceMs: Math.min(state.expectsHubSinceMs, atMs),
});
