import type { BackendServerState } from "./backend-server-state.js";

/** Returns whether the instance presumed to run at the address is known to be leaving. */
export const isLeaving = (server: BackendServerState): boolean =>
    server.listedLeaving
    || server.leavingInstanceIds.length > 0
        && (server.instanceId === undefined || server.leavingInstanceIds.includes(server.instanceId));
