import { countZoneMembers } from "./count-zone-members.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";

/** Minimum time between two load queries of this VM for one service while requests wait. */
export const selectLoadQueryIntervalMs = (state: HubState, atMs: number): number =>
    HUB_LIMITS.loadQueryIntervalMs + countZoneMembers(state, atMs) * HUB_LIMITS.loadQueryPerMemberMs;
