import { rollingCounts } from "@marigoldstall/routing.state";
import { countPendingResends } from "./count-pending-resends.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchService } from "./dispatch-service.js";

const MS_PER_SECOND = 1_000;

/**
 * Whether the configured share allows one more hedge of a service. The credit bounds hedges over any time, however few
 * requests a VM has; the counts bound them in each budget window, in which one hedge is always possible.
 */
export const hasHedgeBudget = (draft: DispatchDraft, service: DispatchService): boolean => {
    const { hedgeShare, retryBudget } = draft.state;
    const { credit, hedges } = service.hedging;
    const windowSeconds = Math.ceil(retryBudget.windowMs / MS_PER_SECOND);
    const pending = countPendingResends(draft, service, { onlyHedges: true });
    const sent = rollingCounts.sum(hedges, draft.atMs, windowSeconds + 1);
    const allowed = Math.max(1, hedgeShare * rollingCounts.sum(service.requests, draft.atMs, windowSeconds));
    return credit - pending >= 1 && sent + pending + 1 <= allowed;
};
