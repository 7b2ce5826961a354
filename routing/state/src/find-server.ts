import type { BackendServerState } from "./backend-server-state.js";
import type { ServiceState } from "./service-state.js";

/** Returns the backend server at this address, or undefined when the service no longer has it. */
export const findServer = (service: ServiceState, address: string): BackendServerState | undefined => {
    const index = service.serverIndexes.get(address);
    return index === undefined ? undefined : service.servers[index];
};
