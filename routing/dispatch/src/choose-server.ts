import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import { estimateServer } from "./estimate-server.js";
import type { RequestState } from "./request-state.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";
import type { ServerEstimate } from "./server-estimate.js";
import type { ServerState } from "./server-state.js";

interface ServerChoice {
    /** The server to send to now; absent when all have enough to do. */
    readonly best: ServerEstimate | undefined;
    readonly candidateCount: number;
}

const listUsable = (service: DispatchService, request: RequestState, atMs: number): readonly ServerState[] => {
    const ready = [...service.servers.values()].filter(({ server }) =>
        !server.isDraining && !request.triedInstanceIds.includes(server.instanceId)
    );
    const healthy = ready.filter(server => server.ejectedUntilMs <= atMs);
    // Outliers are left out only as long as enough others remain.
    return healthy.length >= ready.length * (1 - DISPATCH_LIMITS.maxEjectedShare) ? healthy : ready;
};

/** Chooses the server at which a request is expected to cost least, among those that have room. */
export const chooseServer = (
    draft: DispatchDraft,
    service: DispatchService,
    request: RequestState,
): ServerChoice => {
    const { atMs } = draft;
    const usable = listUsable(service, request, atMs);
    const opts = {
        atMs,
        availabilityZone: draft.base.availabilityZone,
        workMs: selectWorkMs(service, request.route),
        responseBytes: selectResponseBytes(service, request.route),
    };
    let best: ServerEstimate | undefined;
    let bestMs = Infinity;
    for (const server of usable) {
        const estimate = estimateServer(service, server, opts);
        const costMs = estimate.costMs + draft.nextRandom() * DISPATCH_LIMITS.jitterMs;
        const hasRoom = estimate.occupied < server.server.slots + DISPATCH_LIMITS.queueAhead;
        if (hasRoom && costMs < bestMs) {
            best = estimate;
            bestMs = costMs;
        }
    }
    return { best, candidateCount: usable.length };
};
