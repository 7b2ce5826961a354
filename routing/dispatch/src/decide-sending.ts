import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import type { RequestState } from "./request-state.js";
import { selectRemainingMs } from "./select-remaining-ms.js";
import { selectWorkMs } from "./select-work-ms.js";
import type { ServerEstimate } from "./server-estimate.js";

/**
 * Sends a request now to a server at which it is expected to be on time; waits while a slot of a better server would
 * still bring it in time; and, once it is late, leaves the slots of fast servers to requests that can be on time, as
 * long as its deadline allows. Returns where to send it now; undefined when it waits.
 */
export const decideSending = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly service: DispatchService; readonly estimates: readonly ServerEstimate[]; },
): ServerEstimate | undefined => {
    const { atMs } = draft;
    const { service, estimates } = opts;
    const workMs = selectWorkMs(service, request.route);
    const mayCheck = request.checkCount < DISPATCH_LIMITS.maxChecks;
    // What an outdated report says is found out by a check, so the request goes by the report's word first.
    const expectedMs = (estimate: ServerEstimate): number =>
        !mayCheck
            ? estimate.totalMs
            : estimate.reportAgeMs > DISPATCH_LIMITS.slownessLifeMs
            ? workMs
            : estimate.steadyMs;
    const timely = chooseServer(draft, estimates, estimate => atMs + expectedMs(estimate) <= request.targetAtMs);
    if (timely !== undefined || atMs + workMs * DISPATCH_LIMITS.hopeFactor <= request.targetAtMs) {
        return timely;
    }
    const remainingMs = selectRemainingMs(request, atMs);
    const isLastCall = remainingMs <= workMs * DISPATCH_LIMITS.lastCallFactor;
    return chooseServer(draft, estimates, estimate => {
        const isSpare = estimate.slowness >= DISPATCH_LIMITS.slowFactor || estimate.occupied === 0;
        return isLastCall || (isSpare && expectedMs(estimate) <= remainingMs);
    });
};
