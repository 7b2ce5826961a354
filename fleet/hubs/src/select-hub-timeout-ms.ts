import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectHeartbeatIntervalMs } from "./select-heartbeat-interval-ms.js";

/** Time without a message after which the hub of this VM's zone counts as lost. */
export const selectHubTimeoutMs = (state: HubState, atMs: number): number =>
    selectHeartbeatIntervalMs(state, atMs) * HUB_LIMITS.hubTimeoutIntervals;
