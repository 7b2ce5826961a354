import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import { listEstimates } from "./list-estimates.js";
import type { RequestState } from "./request-state.js";
import type { ServerEstimate } from "./server-estimate.js";

interface ServerChoice {
    /** The server with a free slot at which the request is expected to cost least; absent when none has one. */
    readonly best: ServerEstimate | undefined;
    readonly candidateCount: number;
}

/** Chooses the server at which a request is expected to cost least, among those that pass a condition. */
export const chooseServer = (
    draft: DispatchDraft,
    service: DispatchService,
    request: RequestState,
    isWanted: (estimate: ServerEstimate) => boolean = () => true,
): ServerChoice => {
    const estimates = listEstimates(draft, service, request);
    let best: ServerEstimate | undefined;
    let bestMs = Infinity;
    for (const estimate of estimates) {
        const costMs = estimate.costMs + draft.nextRandom() * DISPATCH_LIMITS.jitterMs;
        const hasRoom = estimate.occupied < estimate.server.server.slots;
        if (hasRoom && costMs < bestMs && isWanted(estimate)) {
            best = estimate;
            bestMs = costMs;
        }
    }
    return { best, candidateCount: estimates.length };
};
