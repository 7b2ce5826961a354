import { limitEjections } from "./limit-ejections.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { ServiceState } from "./service-state.js";
import { setServers } from "./set-servers.js";

/** Removes a backend server and closes its connections. */
export const removeServer = (draft: RoutingDraft, service: Mutable<ServiceState>, address: string): void => {
    setServers(service, service.servers.filter(server => server.address !== address));
    limitEjections(service);
    const addressServices = new Map(draft.addressServices);
    addressServices.delete(address);
    draft.addressServices = addressServices;
    draft.emit({ type: "close-connections", address });
    logDecision(draft, {
        kind: "remove",
        service: service.name,
        choice: address,
        reason: "missing from the VM list and not reachable",
    });
};
