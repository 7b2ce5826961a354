import type { DispatchState } from "./dispatch-state.js";
import type { ServerState } from "./server-state.js";

/** Whether requests may be sent to a server: it neither drains nor is about to end, and its zone is not evacuated. */
export const isInUse = (
    { server, isLeaving }: ServerState,
    { evacuatedZones }: Pick<DispatchState, "evacuatedZones">,
): boolean => !server.isDraining && !isLeaving && !evacuatedZones.has(server.availabilityZone);
