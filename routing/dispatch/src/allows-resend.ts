import { rollingCounts } from "@marigoldstall/routing.state";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";

const MS_PER_SECOND = 1_000;

/**
 * Whether the retry budget of a service has room for one more send. Every VM has an equal part of the fixed allowance
 * and the share that its own requests earn, so that the sum over the fleet keeps to the budget without messages.
 */
export const allowsResend = (draft: DispatchDraft, service: DispatchService): boolean => {
    const { ratio, windowMs, extra } = draft.base.retryBudget;
    const windowSeconds = Math.ceil(windowMs / MS_PER_SECOND);
    const earned = ratio * rollingCounts.sum(service.requests, draft.atMs, windowSeconds);
    const allowed = (extra / draft.base.vmCount + earned) * DISPATCH_LIMITS.budgetShare;
    return rollingCounts.sum(service.resends, draft.atMs, windowSeconds + 1) + 1 <= allowed;
};
