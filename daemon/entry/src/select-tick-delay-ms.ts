import { selectMessageDelayMs } from "@marigoldstall/fleet.hubs";
import { ENTRY_LIMITS } from "./entry-limits.js";
import type { EntryState } from "./entry-state.js";

/** Time until the next tick has something to do. */
export const selectTickDelayMs = (state: EntryState, atMs: number): number => {
    const isBusy = state.dispatch.requests.size > 0 || state.hub.isHub;
    const intervalMs = isBusy ? ENTRY_LIMITS.busyTickMs : ENTRY_LIMITS.idleTickMs;
    return state.hub.outbox.queuedSinceMs === undefined
        ? intervalMs
        : Math.min(intervalMs, selectMessageDelayMs(state.hub, atMs));
};
