import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchService } from "./dispatch-service.js";

/**
 * Retries and hedges that were decided but wait for a preflight check or a permit. They are counted when they are sent, so
 * until then the budgets have to set them aside.
 */
export const countPendingResends = (
    draft: DispatchDraft,
    service: DispatchService,
    opts: { readonly onlyHedges: boolean; },
): number => {
    let count = 0;
    for (const requestKey of service.running) {
        const request = draft.request(requestKey);
        if (request !== undefined && request.sentCount > 0) {
            count += request.attempts.filter(({ phase, isHedge }) =>
                phase !== "sent" && (isHedge || !opts.onlyHedges)
            ).length;
        }
    }
    return count;
};
