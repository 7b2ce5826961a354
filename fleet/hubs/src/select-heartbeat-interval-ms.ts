import { countZoneMembers } from "./count-zone-members.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";

/** Interval at which the hub of this VM's zone sends messages to its members. */
export const selectHeartbeatIntervalMs = (state: HubState, atMs: number): number =>
    Math.max(
        HUB_LIMITS.hubHeartbeatIntervalMs,
        countZoneMembers(state, atMs) * HUB_LIMITS.hubHeartbeatPerMemberMs,
    );
