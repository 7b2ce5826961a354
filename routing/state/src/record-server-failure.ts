import { findServer } from "./find-server.js";
import { isLeaving } from "./is-leaving.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

/** Counts a failed attempt. Ejects the backend server after several consecutive failures or a failure on probation. */
export const recordServerFailure = (draft: RoutingDraft, service: Mutable<ServiceState>, address: string): void => {
    const server = findServer(service, address);
    if (server === undefined) {
        return;
    }
    const consecutiveFailures = server.consecutiveFailures + 1;
    const wasEjected = server.ejectedUntilMs !== undefined;
    const onProbation = server.ejectedUntilMs !== undefined && server.ejectedUntilMs <= draft.atMs;
    updateServer(service, address, { consecutiveFailures, lastObservedAtMs: draft.atMs });
    if (!onProbation && (wasEjected || consecutiveFailures < ROUTING_LIMITS.failuresToEject)) {
        return;
    }
    const remaining = service.servers.filter(other => !isLeaving(other));
    const ejected = remaining.filter(other => other.ejectedUntilMs !== undefined).length;
    if (!wasEjected && ejected + 1 > Math.floor(remaining.length / 2)) {
        updateServer(service, address, { suspectUntilMs: draft.atMs + ROUTING_LIMITS.suspectDurationMs });
        return;
    }
    const durationMs = Math.min(
        ROUTING_LIMITS.maxEjectionMs,
        ROUTING_LIMITS.baseEjectionMs * 2 ** server.consecutiveEjections,
    );
    updateServer(service, address, {
        consecutiveEjections: server.consecutiveEjections + 1,
        ejectedUntilMs: draft.atMs + durationMs,
    });
    logDecision(draft, {
        kind: "eject",
        service: service.name,
        choice: address,
        reason: `${consecutiveFailures} consecutive failures, ejected for ${durationMs} ms`,
    });
};
