import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { durationProfiles } from "./duration-profiles.js";
import { estimateEligibleServers } from "./estimate-eligible-servers.js";
import { estimateWinChance } from "./estimate-win-chance.js";
import { hasHedgeBudget } from "./has-hedge-budget.js";
import { hasRetryBudget } from "./has-retry-budget.js";
import { hasSpareCapacity } from "./has-spare-capacity.js";
import type { HedgeDecision } from "./hedge-decision.js";
import { HEDGE_LIMITS } from "./hedge-limits.js";
import { isHedgeCandidate } from "./is-hedge-candidate.js";
import { isSlowEverywhere } from "./is-slow-everywhere.js";
import { isTooLate } from "./is-too-late.js";
import type { RequestState } from "./request-state.js";
import { selectHedgeThreshold } from "./select-hedge-threshold.js";
import { selectRemainingMs } from "./select-remaining-ms.js";
import { selectRequestHold } from "./select-request-hold.js";

const MEDIAN = 0.5;

// A server may have ended under the request, or it is not yet clear why a connection broke under it.
const isSuspected = (draft: DispatchDraft, request: RequestState): boolean =>
    (selectRequestHold(draft, request)?.crashCount ?? 0) > 0
    || [...draft.state.brokenAttempts.values()].some(({ fingerprint, isServerRunning }) =>
        fingerprint === request.fingerprint && !isServerRunning
    );

/**
 * Decides whether a request whose only attempt has taken longer than most of its kind gets a second one, and on which
 * server; undefined when it gets none.
 */
export const selectHedge = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly checkedInstanceId?: string; } = {},
): HedgeDecision | undefined => {
    const { atMs } = draft;
    const { hedgeShare: share } = draft.state;
    const [attempt] = request.attempts;
    const service = draft.service(request.service);
    const { credit, profiles } = service.hedging;
    const profile = profiles.get(request.route.name);
    if (
        attempt?.phase !== "sent" || profile === undefined
        || durationProfiles.count(profile) < HEDGE_LIMITS.minSamples
    ) {
        return undefined;
    }
    const firstMs = atMs - attempt.startedAtMs;
    const thresholdMs = selectHedgeThreshold(profile, { share, credit });
    if (firstMs < thresholdMs || !hasHedgeBudget(draft, service) || !hasRetryBudget(draft, service)) {
        return undefined;
    }
    if (service.queue.length > 0 || isTooLate(service, request, atMs) || isSuspected(draft, request)) {
        return undefined;
    }
    const estimates = estimateEligibleServers(draft, service, request);
    const best = chooseServer(draft, estimates, estimate => isHedgeCandidate(estimate, atMs));
    if (best === undefined || !hasSpareCapacity(estimates, atMs) || isSlowEverywhere(draft, service, attempt)) {
        return undefined;
    }
    const hedgeMs = durationProfiles.quantile(profile, MEDIAN) * Math.max(1, best.slowness / service.slowness);
    const winChance = estimateWinChance(profile, { elapsedMs: firstMs, otherMs: hedgeMs });
    if (hedgeMs >= selectRemainingMs(request, atMs) || winChance < HEDGE_LIMITS.minWinChance) {
        return undefined;
    }
    const checked = chooseServer(
        draft,
        estimates,
        estimate => estimate.server.server.instanceId === opts.checkedInstanceId && isHedgeCandidate(estimate, atMs),
    );
    return { estimate: best, checked, candidateCount: estimates.length, firstMs, thresholdMs, hedgeMs, winChance };
};
