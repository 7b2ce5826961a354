import { countKnownZoneVms } from "./count-known-zone-vms.js";
import { countZoneMembers } from "./count-zone-members.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";

/** Interval at which the hub of this VM's zone sends messages to its members. */
export const selectHeartbeatIntervalMs = (state: HubState, atMs: number): number =>
    // So few VMs do not prolong the interval, whichever of them are live.
    countKnownZoneVms(state) * HUB_LIMITS.hubHeartbeatPerMemberMs <= HUB_LIMITS.hubHeartbeatIntervalMs
        ? HUB_LIMITS.hubHeartbeatIntervalMs
        : Math.max(
            HUB_LIMITS.hubHeartbeatIntervalMs,
            countZoneMembers(state, atMs) * HUB_LIMITS.hubHeartbeatPerMemberMs,
        );
