import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";

/** How long updates are batched in the outbox before they are sent. */
export const selectBatchDelayMs = (state: HubState): number =>
    state.isHub ? HUB_LIMITS.hubBatchDelayMs : HUB_LIMITS.memberBatchDelayMs;
