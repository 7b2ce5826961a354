import type { BackendServerState } from "./backend-server-state.js";
import type { BackendServerStatus } from "./backend-server-status.js";
import { estimateOthersLoad } from "./estimate-others-load.js";
import { estimateRelativeLatency } from "./estimate-relative-latency.js";
import { isLeaving } from "./is-leaving.js";
import { reportTrusts } from "./report-trusts.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { RoutingState } from "./routing-state.js";
import type { ServiceState } from "./service-state.js";

const conditionOf = (
    service: ServiceState,
    server: BackendServerState,
    atMs: number,
): BackendServerStatus["condition"] => {
    if (isLeaving(server)) {
        return "leaving";
    }
    if (server.ejectedUntilMs !== undefined) {
        return server.ejectedUntilMs > atMs ? "ejected" : "probation";
    }
    if (server.absentSinceListMs !== undefined) {
        return "absent";
    }
    if (server.coldUntilMs > atMs) {
        return "cold";
    }
    return estimateRelativeLatency(service, server, atMs) > ROUTING_LIMITS.stragglerFactor ? "straggler" : "usable";
};

/** Returns the status of every backend server. */
export const selectBackendServers = (state: RoutingState, atMs: number): readonly BackendServerStatus[] =>
    state.services.flatMap(service =>
        service.servers.map(server => ({
            service: service.name,
            address: server.address,
            vmId: server.vmId,
            availabilityZone: server.availabilityZone,
            instanceId: server.instanceId,
            condition: conditionOf(service, server, atMs),
            ownInFlight: server.ownInFlight,
            othersLoad: estimateOthersLoad(service, server, {
                atMs,
                trust: reportTrusts.factor(service.reportTrust),
            }),
            slots: server.slots,
            latencyMs: server.latencyMs,
            reportAgeMs: server.reportedAtMs === undefined ? undefined : atMs - server.reportedAtMs,
            consecutiveFailures: server.consecutiveFailures,
        }))
    );
