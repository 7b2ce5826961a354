import type { Evidence } from "@marigoldstall/core.types";
import { findServer } from "./find-server.js";
import { recordLeaving } from "./record-leaving.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import { updateServer } from "./update-server.js";

/** Applies evidence from peers. Evidence about an instance that is not the current one has no effect. */
export const onEvidenceReceived = (draft: RoutingDraft, evidence: readonly Evidence[]): void => {
    for (const { service: serviceName, address, instanceId, kind, observedBy } of evidence) {
        const service = draft.service(serviceName);
        const server = service === undefined ? undefined : findServer(service, address);
        if (service === undefined || server === undefined) {
            continue;
        }
        if (kind === "leaving") {
            recordLeaving(draft, service, address, { instanceId, observedBy });
        }
        else if (server.instanceId === undefined || server.instanceId === instanceId) {
            updateServer(service, address, { suspectUntilMs: draft.atMs + ROUTING_LIMITS.suspectDurationMs });
        }
    }
};
