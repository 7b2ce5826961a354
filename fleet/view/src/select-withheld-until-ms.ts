import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";
import type { WithheldServer } from "./withheld-server.js";

/** Until when a registration is withheld. The store expires no registration while it is away. */
export const selectWithheldUntilMs = (state: ViewState, withheld: WithheldServer): number =>
    withheld.isInUse
        ? withheld.untilMs
        : Math.max(withheld.untilMs, state.outageEndedAtMs + state.heartbeatMs * VIEW_LIMITS.withheldHeartbeats);
