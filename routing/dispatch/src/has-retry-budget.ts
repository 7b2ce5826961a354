import { rollingCounts } from "@marigoldstall/routing.state";
import { countPendingResends } from "./count-pending-resends.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";

const MS_PER_SECOND = 1_000;

/**
 * Whether the retry budget of a service allows one more send. Each VM may use an equal part of the fixed allowance and
 * what its own requests earn, so that the fleet as a whole stays within the budget without coordination.
 */
export const hasRetryBudget = (draft: DispatchDraft, service: DispatchService): boolean => {
    const { ratio, windowMs, extra } = draft.state.retryBudget;
    const windowSeconds = Math.ceil(windowMs / MS_PER_SECOND);
    const earned = ratio * rollingCounts.sum(service.requests, draft.atMs, windowSeconds);
    const allowed = (extra / draft.state.vmCount + earned) * DISPATCH_LIMITS.retryBudgetShare;
    const sent = rollingCounts.sum(service.resends, draft.atMs, windowSeconds + 1);
    const pending = draft.state.hedgeShare > 0 ? countPendingResends(draft, service, { onlyHedges: false }) : 0;
    return sent + pending + 1 <= allowed;
};
