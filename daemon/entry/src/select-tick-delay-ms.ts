import { selectMessageDelayMs } from "@marigoldstall/fleet.hubs";
import type { EntryState } from "./entry-state.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";

/** Time until the next tick is due. */
export const selectTickDelayMs = (state: EntryState, atMs: number): number => {
    const isBusy = state.dispatch.requests.size > 0 || state.isProber;
    const intervalMs = isBusy ? ENTRY_TIMINGS.busyTickIntervalMs : ENTRY_TIMINGS.idleTickIntervalMs;
    return state.hub.outbox.queuedSinceMs === undefined
        ? intervalMs
        : Math.min(intervalMs, selectMessageDelayMs(state.hub, atMs));
};
