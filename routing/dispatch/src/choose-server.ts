import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { selectAvailableAtMs } from "./select-available-at-ms.js";
import type { ServerEstimate } from "./server-estimate.js";

/** Chooses the eligible server with a free slot and the lowest expected cost; undefined when there is none. */
export const chooseServer = (
    draft: DispatchDraft,
    estimates: readonly ServerEstimate[],
    isEligible: (estimate: ServerEstimate) => boolean = () => true,
): ServerEstimate | undefined => {
    let best: ServerEstimate | undefined;
    let bestMs = Infinity;
    for (const estimate of estimates) {
        const costMs = estimate.costMs + draft.nextRandom() * DISPATCH_LIMITS.costJitterMs;
        const { server, occupied } = estimate;
        const hasFreeSlot = occupied < server.server.slots && selectAvailableAtMs(server) <= draft.atMs;
        if (hasFreeSlot && costMs < bestMs && isEligible(estimate)) {
            best = estimate;
            bestMs = costMs;
        }
    }
    return best;
};
