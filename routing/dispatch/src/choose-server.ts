import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { ServerEstimate } from "./server-estimate.js";

/**
 * Chooses the server with a free slot at which a request is expected to cost least, among those that pass a condition;
 * undefined when there is none.
 */
export const chooseServer = (
    draft: DispatchDraft,
    estimates: readonly ServerEstimate[],
    isWanted: (estimate: ServerEstimate) => boolean = () => true,
): ServerEstimate | undefined => {
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
    return best;
};
