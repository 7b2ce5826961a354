import { allowsResend } from "./allows-resend.js";
import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { estimateSlowChance } from "./estimate-slow-chance.js";
import { listEstimates } from "./list-estimates.js";
import type { RequestState } from "./request-state.js";
import { startAttempt } from "./start-attempt.js";

/**
 * Sends an idempotent request a second time when the first server is likely to answer too late and another one is
 * expected to answer in time. It waits for the last moment at which that helps, when most is known.
 */
export const tryHedge = (draft: DispatchDraft, request: RequestState): void => {
    const { atMs } = draft;
    const [attempt] = request.attempts;
    const { route } = request;
    const mayHedge = route.isIdempotent && request.attempts.length === 1 && request.sentCount < route.maxAttempts;
    if (attempt?.phase !== "sent" || !mayHedge) {
        return;
    }
    const seemsSlow = atMs < request.targetAtMs
        && estimateSlowChance(attempt, atMs) >= DISPATCH_LIMITS.hedgeChance;
    const seemsLost = atMs - attempt.startedAtMs > DISPATCH_LIMITS.hangFactor * attempt.steadyMs;
    if (!seemsSlow && !seemsLost) {
        return;
    }
    const service = draft.service(request.service);
    const estimates = listEstimates(draft, service, request);
    const best = chooseServer(draft, estimates);
    if (best === undefined) {
        return;
    }
    const latestAtMs = request.targetAtMs - best.totalMs - DISPATCH_LIMITS.hedgeMarginMs;
    const isLastMoment = atMs <= latestAtMs && atMs + 2 * DISPATCH_LIMITS.recheckMs > latestAtMs;
    const isSlow = seemsSlow && isLastMoment;
    const hangs = seemsLost && atMs + best.totalMs < request.deadlineAtMs;
    if ((isSlow || hangs) && allowsResend(draft, service)) {
        startAttempt(draft, request, { estimate: best, candidateCount: estimates.length, isHedge: true });
    }
};
