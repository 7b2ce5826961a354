import type { BackendServerState } from "./backend-server-state.js";
import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/** Replaces the backend servers of a service. */
export const setServers = (service: Mutable<ServiceState>, servers: readonly BackendServerState[]): void => {
    service.servers = servers;
    service.serverIndexes = new Map(servers.map((server, index) => [server.address, index]));
};
