import { findServer } from "./find-server.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

/** Records a successful response or probe: resets the failure count and ends an ejection whose time has expired. */
export const recordServerSuccess = (draft: RoutingDraft, service: Mutable<ServiceState>, address: string): void => {
    const server = findServer(service, address);
    if (server === undefined) {
        return;
    }
    const ejected = server.ejectedUntilMs !== undefined && server.ejectedUntilMs > draft.atMs;
    if (server.consecutiveFailures === 0 && server.ejectedUntilMs === undefined) {
        return;
    }
    if (ejected) {
        updateServer(service, address, { consecutiveFailures: 0 });
        return;
    }
    if (server.ejectedUntilMs !== undefined) {
        logDecision(draft, {
            kind: "restore",
            service: service.name,
            choice: address,
            reason: "the first probe or request after the ejection succeeded",
        });
    }
    updateServer(service, address, { consecutiveFailures: 0, consecutiveEjections: 0, ejectedUntilMs: undefined });
};
