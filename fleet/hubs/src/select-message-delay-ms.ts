import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectGatherMs } from "./select-gather-ms.js";

/** Time until the next message is due; 0 or less when it is. */
export const selectMessageDelayMs = (state: HubState, atMs: number): number => {
    const { sinceMs } = state.outbox;
    const presenceMs = state.isHub ? HUB_LIMITS.hubPresenceMs : HUB_LIMITS.memberPresenceMs;
    const presenceDelayMs = state.sentAtMs + presenceMs - atMs;
    return sinceMs === undefined
        ? presenceDelayMs
        : Math.min(presenceDelayMs, sinceMs + selectGatherMs(state, atMs) - atMs);
};
