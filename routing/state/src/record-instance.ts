import { findServer } from "./find-server.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

/** Records the instance id of a response or probe. A new instance at a known address starts with a clean state. */
export const recordInstance = (
    draft: RoutingDraft,
    service: Mutable<ServiceState>,
    address: string,
    instanceId: string | undefined,
): void => {
    const server = findServer(service, address);
    if (server === undefined || instanceId === undefined || server.instanceId === instanceId) {
        return;
    }
    if (server.instanceId === undefined) {
        updateServer(service, address, { instanceId });
        return;
    }
    if (server.formerInstanceIds.includes(instanceId)) {
        return;
    }
    const formerInstanceId = server.instanceId;
    updateServer(service, address, {
        instanceId,
        formerInstanceIds: [formerInstanceId, ...server.formerInstanceIds].slice(
            0,
            ROUTING_LIMITS.maxRememberedInstances,
        ),
        listedLeaving: false,
        listedLeavingOutdated: server.listedLeaving || server.listedLeavingOutdated,
        leavingInstanceIds: server.leavingInstanceIds.filter(leaving => leaving === instanceId),
        leavingContradicted: false,
        slots: ROUTING_LIMITS.defaultSlots,
        reportedOthersLoad: 0,
        reportedAtMs: undefined,
        meanOthersLoad: 0,
        latencyMs: undefined,
        consecutiveFailures: 0,
        consecutiveEjections: 0,
        ejectedUntilMs: undefined,
        coldUntilMs: draft.atMs + ROUTING_LIMITS.slowStartMs,
        suspectUntilMs: -Infinity,
    });
    draft.emit({ type: "close-connections", address });
    logDecision(draft, {
        kind: "new-instance",
        service: service.name,
        choice: address,
        reason: `instance ${instanceId} replaces ${formerInstanceId}`,
    });
};
