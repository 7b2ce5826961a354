import { ENTRY_LIMITS } from "./entry-limits.js";
import type { EntryState } from "./entry-state.js";

// News wait for a few milliseconds for others; see the hub's limits.
const GATHER_TICK_MS = 4;

/** Time until the next tick has something to do. */
export const selectTickDelayMs = (state: EntryState): number => {
    if (state.hub.outbox.sinceMs !== undefined) {
        return GATHER_TICK_MS;
    }
    return state.dispatch.requests.size > 0 || state.hub.isHub ? ENTRY_LIMITS.busyTickMs : ENTRY_LIMITS.idleTickMs;
};
