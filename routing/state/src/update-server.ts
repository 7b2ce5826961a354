import type { BackendServerState } from "./backend-server-state.js";
import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/** Replaces fields of one backend server; does nothing when the service no longer has it. */
export const updateServer = (
    service: Mutable<ServiceState>,
    address: string,
    changes: Partial<BackendServerState>,
): void => {
    const index = service.serverIndexes.get(address);
    const server = index === undefined ? undefined : service.servers[index];
    if (index !== undefined && server !== undefined) {
        const servers = service.servers.slice();
        servers[index] = { ...server, ...changes };
        service.servers = servers;
    }
};
