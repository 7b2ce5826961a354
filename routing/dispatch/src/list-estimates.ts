import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import { estimateServer } from "./estimate-server.js";
import type { RequestState } from "./request-state.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";
import type { ServerEstimate } from "./server-estimate.js";

/** Estimates for the servers that a request may go to, whether they have room or not. */
export const listEstimates = (
    draft: DispatchDraft,
    service: DispatchService,
    request: RequestState,
): readonly ServerEstimate[] => {
    const { atMs } = draft;
    const ready = [...service.servers.values()].filter(({ server }) =>
        !server.isDraining && !request.triedInstanceIds.includes(server.instanceId)
    );
    const healthy = ready.filter(server => server.ejectedUntilMs <= atMs);
    // Outliers are left out only as long as enough others remain.
    const usable = healthy.length >= ready.length * (1 - DISPATCH_LIMITS.maxEjectedShare) ? healthy : ready;
    const opts = {
        atMs,
        availabilityZone: draft.base.availabilityZone,
        workMs: selectWorkMs(service, request.route),
        responseBytes: selectResponseBytes(service, request.route),
    };
    return usable.map(server => estimateServer(service, server, opts));
};
