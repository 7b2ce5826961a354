import type { BackendServerState } from "./backend-server-state.js";
import { copyBackendServer } from "./copy-backend-server.js";
import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/**
 * Returns a mutable copy of a backend server, or undefined when the service no longer has it. The server is copied at
 * most once per reduction: a copy with the revision of this reduction is not part of any earlier state.
 */
export const editServer = (
    service: Mutable<ServiceState>,
    address: string,
): Mutable<BackendServerState> | undefined => {
    const index = service.serverIndexes.get(address);
    const server = index === undefined ? undefined : service.servers[index];
    if (index === undefined || server === undefined || server.revision === service.revision) {
        return server;
    }
    const copy = copyBackendServer(server, { revision: service.revision });
    const servers = service.servers.slice();
    servers[index] = copy;
    service.servers = servers;
    return copy;
};
