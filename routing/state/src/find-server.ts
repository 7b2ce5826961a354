import type { BackendServerState } from "./backend-server-state.js";
import type { ServiceState } from "./service-state.js";

/** The backend server at this address, if the service still has it. */
export const findServer = (service: ServiceState, address: string): BackendServerState | undefined => {
    const index = service.serverIndexes.get(address);
    return index === undefined ? undefined : service.servers[index];
};
