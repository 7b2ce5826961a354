import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectBatchDelayMs } from "./select-batch-delay-ms.js";
import { selectHeartbeatIntervalMs } from "./select-heartbeat-interval-ms.js";

/** Time until the next message is due. It is 0 or negative if one is due now. */
export const selectMessageDelayMs = (state: HubState, atMs: number): number => {
    const { queuedSinceMs } = state.outbox;
    const { isHub, heartbeatSentAtMs } = state;
    const updatesAtMs = queuedSinceMs === undefined ? Infinity : queuedSinceMs + selectBatchDelayMs(state);
    const heartbeatAtMs = isHub
        ? Math.min(
            heartbeatSentAtMs + selectHeartbeatIntervalMs(state, atMs),
            state.peersInformedAtMs + HUB_LIMITS.hubPeerIntervalMs,
        )
        : heartbeatSentAtMs + HUB_LIMITS.memberHeartbeatIntervalMs;
    return Math.min(updatesAtMs, heartbeatAtMs) - atMs;
};
