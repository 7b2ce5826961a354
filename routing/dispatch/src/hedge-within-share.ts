import { awaitsLoads } from "./awaits-loads.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { HEDGE_LIMITS } from "./hedge-limits.js";
import { requestLoads } from "./request-loads.js";
import type { RequestState } from "./request-state.js";
import { selectHedge } from "./select-hedge.js";
import { startAttempt } from "./start-attempt.js";

const PERCENT = 100;
const toPercent = (ratio: number): number => Math.round(ratio * PERCENT);

// A member knows the loads of a few servers, from the time of its latest query. Returns whether it has to wait for an
// answer; without one in time, it decides by what it knows.
const needsLoads = (draft: DispatchDraft, request: RequestState): boolean => {
    const { loadQueryIntervalMs } = draft.state;
    if (loadQueryIntervalMs === undefined) {
        return false;
    }
    const { loadsQueriedAtMs } = draft.service(request.service);
    if (draft.atMs - loadsQueriedAtMs > Math.max(HEDGE_LIMITS.loadsValidForMs, loadQueryIntervalMs)) {
        requestLoads(draft, request.service, { route: request.route, minIntervalMs: loadQueryIntervalMs });
    }
    return awaitsLoads(draft, draft.service(request.service));
};

/** Sends a hedge if the configured share allows it and it is worth its extra work. */
export const hedgeWithinShare = (draft: DispatchDraft, request: RequestState): void => {
    const decision = selectHedge(draft, request);
    if (decision === undefined || needsLoads(draft, request)) {
        return;
    }
    const { estimate, candidateCount, firstMs, thresholdMs, hedgeMs, winChance } = decision;
    draft.log({
        kind: "hedge-decided",
        requestId: request.requestId,
        service: request.service,
        instanceId: estimate.server.server.instanceId,
        inputs: {
            firstMs: Math.round(firstMs),
            thresholdMs: Math.round(thresholdMs),
            hedgeMs: Math.round(hedgeMs),
            winChancePercent: toPercent(winChance),
            creditPercent: toPercent(draft.service(request.service).hedging.credit),
        },
    });
    startAttempt(draft, request, { estimate, candidateCount, isHedge: true });
};
