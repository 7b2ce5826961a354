import { findServer } from "./find-server.js";
import { limitEjections } from "./limit-ejections.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

/** Records evidence that an instance is leaving. Returns whether the evidence is new. */
export const recordLeaving = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    address: string,
    opts: { readonly instanceId: string; readonly observedBy: string; },
): boolean => {
    const server = findServer(service, address);
    if (server === undefined || server.formerInstanceIds.includes(opts.instanceId)) {
        return false;
    }
    const known = server.leavingInstanceIds.includes(opts.instanceId);
    if (known && !server.leavingContradicted) {
        return false;
    }
    const others = server.leavingInstanceIds.filter(other => other !== opts.instanceId);
    updateServer(service, address, {
        leavingInstanceIds: [opts.instanceId, ...others].slice(0, ROUTING_LIMITS.maxRememberedInstances),
        leavingListAsOfMs: draft.vmListAsOfMs,
        leavingContradicted: false,
    });
    limitEjections(service);
    if (!known) {
        logDecision(draft, {
            kind: "leaving",
            service: service.name,
            choice: address,
            reason: `instance ${opts.instanceId} is leaving, observed by ${opts.observedBy}`,
        });
    }
    return !known;
};
