import type { Evidence } from "@marigoldstall/core.types";
import type { RoutingState } from "./routing-state.js";

/** Returns the evidence to repeat in heartbeats: the instances that are known to be leaving. */
export const selectEvidence = (state: RoutingState): readonly Evidence[] =>
    state.services.flatMap(service =>
        service.servers.flatMap(server =>
            server.leavingInstanceIds.map(instanceId => ({
                service: service.name,
                address: server.address,
                instanceId,
                kind: "leaving" as const,
                observedBy: state.vmId,
            }))
        )
    );
