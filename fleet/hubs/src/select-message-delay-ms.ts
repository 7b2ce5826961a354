import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectHeartbeatIntervalMs } from "./select-heartbeat-interval-ms.js";

/** Time until the next message is due. It is 0 or negative if one is due now. */
export const selectMessageDelayMs = (state: HubState, atMs: number): number => {
    const { queuedSinceMs } = state.outbox;
    const { isHub, heartbeatSentAtMs } = state;
    const batchDelayMs = isHub ? HUB_LIMITS.hubBatchDelayMs : HUB_LIMITS.memberBatchDelayMs;
    const updatesAtMs = queuedSinceMs === undefined ? Infinity : queuedSinceMs + batchDelayMs;
    const heartbeatAtMs = isHub
        ? Math.min(
            heartbeatSentAtMs + selectHeartbeatIntervalMs(state, atMs),
            state.peersInformedAtMs + HUB_LIMITS.hubPeerIntervalMs,
        )
        : heartbeatSentAtMs + HUB_LIMITS.memberHeartbeatIntervalMs;
    return Math.min(updatesAtMs, heartbeatAtMs) - atMs;
};
