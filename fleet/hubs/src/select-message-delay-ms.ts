import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectBatchDelayMs } from "./select-batch-delay-ms.js";

/** Time until the next message is due. It is 0 or negative if one is due now. */
export const selectMessageDelayMs = (state: HubState, atMs: number): number => {
    const { queuedSinceMs } = state.outbox;
    const heartbeatIntervalMs = state.isHub ? HUB_LIMITS.hubHeartbeatIntervalMs : HUB_LIMITS.memberHeartbeatIntervalMs;
    const heartbeatDelayMs = state.lastSentAtMs + heartbeatIntervalMs - atMs;
    return queuedSinceMs === undefined
        ? heartbeatDelayMs
        : Math.min(heartbeatDelayMs, queuedSinceMs + selectBatchDelayMs(state, atMs) - atMs);
};
