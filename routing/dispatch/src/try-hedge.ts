import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { estimateEligibleServers } from "./estimate-eligible-servers.js";
import { estimateSlowChance } from "./estimate-slow-chance.js";
import { hasRetryBudget } from "./has-retry-budget.js";
import { hedgeWithinShare } from "./hedge-within-share.js";
import { requestLoads } from "./request-loads.js";
import type { RequestState } from "./request-state.js";
import { selectColdLimit } from "./select-cold-limit.js";
import { selectRequestHold } from "./select-request-hold.js";
import { startAttempt } from "./start-attempt.js";

/**
 * Sends an idempotent request to a second server when the first is likely to respond too late and another one is
 * expected to respond in time. It waits for the last moment at which that helps, when the most is known. Where a share of
 * hedges is configured, the measured durations decide instead.
 */
export const tryHedge = (draft: DispatchDraft, request: RequestState): void => {
    const { atMs } = draft;
    const [attempt] = request.attempts;
    const { route } = request;
    const mayHedge = route.isIdempotent && request.attempts.length === 1 && request.sentCount < route.maxAttempts;
    if (attempt?.phase !== "sent" || !mayHedge) {
        return;
    }
    if (draft.state.hedgeShare > 0) {
        hedgeWithinShare(draft, request);
        return;
    }
    const seemsSlow = atMs < request.targetAtMs
        && estimateSlowChance(attempt, atMs) >= DISPATCH_LIMITS.minHedgeSlowChance;
    const seemsHung = atMs - attempt.startedAtMs > DISPATCH_LIMITS.hungFactor * attempt.reportBasedMs;
    if (!seemsSlow && !seemsHung) {
        return;
    }
    if ((selectRequestHold(draft, request)?.crashCount ?? 0) > 0) {
        return;
    }
    const service = draft.service(request.service);
    const { loadQueryIntervalMs } = draft.state;
    if (loadQueryIntervalMs !== undefined) {
        requestLoads(draft, request.service, { route, minIntervalMs: loadQueryIntervalMs });
    }
    const estimates = estimateEligibleServers(draft, service, request);
    // A cold server has few permits, which are left to requests that have no server yet.
    const best = chooseServer(
        draft,
        estimates,
        ({ server }) => selectColdLimit(draft.state, server, atMs) === undefined,
    );
    if (best === undefined) {
        return;
    }
    const latestAtMs = request.targetAtMs - best.totalMs - DISPATCH_LIMITS.hedgeMarginMs;
    const isLastMoment = atMs <= latestAtMs && atMs + 2 * DISPATCH_LIMITS.hedgeHalfWindowMs > latestAtMs;
    const isSlow = seemsSlow && isLastMoment;
    const isHung = seemsHung && atMs + best.totalMs < request.deadlineAtMs;
    if ((isSlow || isHung) && hasRetryBudget(draft, service)) {
        startAttempt(draft, request, { estimate: best, candidateCount: estimates.length, isHedge: true });
    }
};
