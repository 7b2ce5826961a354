import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import { estimateServer } from "./estimate-server.js";
import type { RequestState } from "./request-state.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";
import type { ServerEstimate } from "./server-estimate.js";

/** Estimates for the servers that a request may be sent to, with or without a free slot. */
export const estimateEligibleServers = (
    draft: DispatchDraft,
    service: DispatchService,
    request: RequestState,
): readonly ServerEstimate[] => {
    const { atMs } = draft;
    const candidates = [...service.servers.values()].filter(({ server }) =>
        !server.isDraining && !request.triedInstanceIds.includes(server.instanceId)
    );
    const notEjected = candidates.filter(server => server.ejectedUntilMs <= atMs);
    // Ejected servers are skipped only as long as enough others remain.
    const eligible = notEjected.length >= candidates.length * (1 - DISPATCH_LIMITS.maxEjectedShare)
        ? notEjected
        : candidates;
    const opts = {
        atMs,
        availabilityZone: draft.state.availabilityZone,
        workMs: selectWorkMs(service, request.route),
        responseBytes: selectResponseBytes(service, request.route),
    };
    return eligible.map(server => estimateServer(service, server, opts));
};
