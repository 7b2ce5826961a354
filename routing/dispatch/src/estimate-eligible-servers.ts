import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import { estimateServer } from "./estimate-server.js";
import type { RequestState } from "./request-state.js";
import { selectEligibleServers } from "./select-eligible-servers.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";
import type { ServerEstimate } from "./server-estimate.js";
import type { ServerState } from "./server-state.js";

// A VM that asks a hub knows the loads of the servers that the hub recommends. The others would look as good as the
// average of the service, so they are candidates only if the hub has recommended too few.
const selectReportedServers = (draft: DispatchDraft, eligible: readonly ServerState[]): readonly ServerState[] => {
    if (draft.state.loadQueryIntervalMs === undefined) {
        return eligible;
    }
    // A server that limits its requests is checked too rarely for a valid report.
    const reported = eligible.filter(server =>
        server.requestLimit.perSecond !== undefined
        || draft.atMs - server.measuredAtMs <= DISPATCH_LIMITS.reportValidForMs
    );
    return reported.length >= DISPATCH_LIMITS.minReportedServers ? reported : eligible;
};

/** Estimates for the servers that a request may be sent to, with or without a free slot. */
export const estimateEligibleServers = (
    draft: DispatchDraft,
    service: DispatchService,
    request: RequestState,
): readonly ServerEstimate[] => {
    const { atMs } = draft;
    const { triedInstanceIds } = request;
    const opts = {
        atMs,
        zones: draft.state,
        workMs: selectWorkMs(service, request.route),
        responseBytes: selectResponseBytes(service, request.route),
    };
    const eligible = selectEligibleServers(service, { atMs, state: draft.state, triedInstanceIds });
    return selectReportedServers(draft, eligible).map(server => estimateServer(service, server, opts));
};
