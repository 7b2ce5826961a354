import { isLeaving } from "./is-leaving.js";
import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

/** Ends the ejections that expire soonest until at most half of the servers that are not leaving are ejected. */
export const limitEjections = (service: Mutable<ServiceState>): void => {
    const remaining = service.servers.filter(server => !isLeaving(server));
    const ejected = remaining
        .filter(server => server.ejectedUntilMs !== undefined)
        .sort((left, right) => (left.ejectedUntilMs ?? 0) - (right.ejectedUntilMs ?? 0));
    const excess = ejected.length - Math.floor(remaining.length / 2);
    for (const server of ejected.slice(0, Math.max(0, excess))) {
        updateServer(service, server.address, { ejectedUntilMs: undefined, consecutiveFailures: 0 });
    }
};
