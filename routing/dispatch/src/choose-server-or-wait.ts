import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import type { RequestState } from "./request-state.js";
import { selectRemainingMs } from "./select-remaining-ms.js";
import { selectWorkMs } from "./select-work-ms.js";
import type { ServerEstimate } from "./server-estimate.js";

/**
 * Chooses the server to which a request is sent now; undefined when it should wait. A server at which the request is
 * expected to meet its latency target is taken at once. The request waits as long as a slot of a better server could
 * still meet the target. Once it is late, it leaves the slots of fast servers to requests that can be on time, as long
 * as its deadline allows.
 */
export const chooseServerOrWait = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly service: DispatchService; readonly estimates: readonly ServerEstimate[]; },
): ServerEstimate | undefined => {
    const { atMs } = draft;
    const { service, estimates } = opts;
    const workMs = selectWorkMs(service, request.route);
    const mayCheck = request.checkCount < DISPATCH_LIMITS.maxChecks;
    // A preflight check detects an outdated report, so the report is taken at face value while checks are left.
    const expectedMs = (estimate: ServerEstimate): number =>
        !mayCheck
            ? estimate.totalMs
            : estimate.reportAgeMs > DISPATCH_LIMITS.slownessValidForMs
            ? workMs
            : estimate.reportBasedMs;
    const onTime = chooseServer(draft, estimates, estimate => atMs + expectedMs(estimate) <= request.targetAtMs);
    if (onTime !== undefined || atMs + workMs * DISPATCH_LIMITS.onTimeWorkFactor <= request.targetAtMs) {
        return onTime;
    }
    const remainingMs = selectRemainingMs(request, atMs);
    const isNearDeadline = remainingMs <= workMs * DISPATCH_LIMITS.nearDeadlineWorkFactor;
    return chooseServer(draft, estimates, estimate => {
        const isSpare = estimate.slowness >= DISPATCH_LIMITS.slowFactor || estimate.occupied === 0;
        return isNearDeadline || (isSpare && expectedMs(estimate) <= remainingMs);
    });
};
