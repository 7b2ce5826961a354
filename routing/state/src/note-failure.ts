import { findServer } from "./find-server.js";
import { isLeaving } from "./is-leaving.js";
import { logDecision } from "./log-decision.js";
import type { Mutable } from "./mutable.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";
import { updateServer } from "./update-server.js";

/** Counts a failed attempt and ejects the backend server after several in a row, or when it fails on probation. */
export const noteFailure = (draft: RoutingDraft, service: Mutable<ServiceState>, address: string): void => {
    const server = findServer(service, address);
    if (server === undefined) {
        return;
    }
    const consecutiveFailures = server.consecutiveFailures + 1;
    const wasEjected = server.ejectedUntilMs !== undefined;
    const onProbation = server.ejectedUntilMs !== undefined && server.ejectedUntilMs <= draft.atMs;
    updateServer(service, address, { consecutiveFailures, informedAtMs: draft.atMs });
    if (!onProbation && (wasEjected || consecutiveFailures < ROUTING_LIMITS.failuresToEject)) {
        return;
    }
    const remaining = service.servers.filter(other => !isLeaving(other));
    const ejected = remaining.filter(other => other.ejectedUntilMs !== undefined).length;
    if (!wasEjected && ejected + 1 > Math.floor(remaining.length / 2)) {
        updateServer(service, address, { suspectUntilMs: draft.atMs + ROUTING_LIMITS.suspectMs });
        return;
    }
    const durationMs = Math.min(ROUTING_LIMITS.ejectionMaxMs, ROUTING_LIMITS.ejectionMs * 2 ** server.ejections);
    updateServer(service, address, {
        ejections: server.ejections + 1,
        ejectedUntilMs: draft.atMs + durationMs,
    });
    logDecision(draft, {
        kind: "eject",
        service: service.name,
        choice: address,
        reason: `${consecutiveFailures} failures in a row, ejected for ${durationMs} ms`,
    });
};
