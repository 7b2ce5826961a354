import type { BackendServerState } from "./backend-server-state.js";
import { editServer } from "./edit-server.js";
import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/** Replaces fields of one backend server; does nothing when the service no longer has it. */
export const updateServer = (
    service: Mutable<ServiceState>,
    address: string,
    changes: Partial<BackendServerState>,
): void => {
    const server = editServer(service, address);
    if (server !== undefined) {
        Object.assign(server, changes);
    }
};
