import { awaitsLoads } from "./awaits-loads.js";
import { chooseServerOrWait } from "./choose-server-or-wait.js";
import { compareWaitingRequests } from "./compare-waiting-requests.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { estimateEligibleServers } from "./estimate-eligible-servers.js";
import { estimateQueueWaitMs } from "./estimate-queue-wait-ms.js";
import { isTooLate } from "./is-too-late.js";
import { rejectHeldBack } from "./reject-held-back.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import { rejectTooLateForStop } from "./reject-too-late-for-stop.js";
import { requestLoads } from "./request-loads.js";
import type { RequestState } from "./request-state.js";
import { selectRemainingMs } from "./select-remaining-ms.js";
import { selectWorkMs } from "./select-work-ms.js";
import { startAttempt } from "./start-attempt.js";

const sortQueue = (draft: DispatchDraft, name: string): readonly RequestState[] => {
    const { atMs } = draft;
    const service = draft.service(name);
    return service.queue
        .flatMap(requestKey => draft.request(requestKey) ?? [])
        .map(request => ({ request, workMs: selectWorkMs(service, request.route) }))
        .sort((a, b) => compareWaitingRequests(a, b, atMs))
        .map(({ request }) => request);
};

/** Sends the waiting requests of a service that a server can take now, and rejects those that cannot be served. */
export const drainQueue = (draft: DispatchDraft, name: string): void => {
    const { atMs } = draft;
    if (awaitsLoads(draft, draft.service(name))) {
        return;
    }
    let aheadCount = 0;
    let firstWaiting: RequestState | undefined;
    for (const request of sortQueue(draft, name)) {
        const service = draft.service(name);
        if (isTooLate(service, request, atMs)) {
            rejectRequest(draft, request, { reason: REJECT_REASONS.tooLate });
            continue;
        }
        if (rejectHeldBack(draft, request) || rejectTooLateForStop(draft, request)) {
            continue;
        }
        const estimates = estimateEligibleServers(draft, service, request);
        const estimate = chooseServerOrWait(draft, request, { service, estimates });
        if (estimates.length === 0) {
            rejectRequest(draft, request, { reason: REJECT_REASONS.noServer });
        }
        else if (estimate !== undefined) {
            startAttempt(draft, request, { estimate, candidateCount: estimates.length, isHedge: false });
        }
        else {
            const waitMs = estimateQueueWaitMs(draft, service, { request, aheadCount });
            if (waitMs > selectRemainingMs(request, atMs)) {
                rejectRequest(draft, request, { reason: REJECT_REASONS.queueTooLong, waitMs });
            }
            else {
                aheadCount += 1;
                firstWaiting ??= request;
            }
        }
    }
    const { loadQueryIntervalMs } = draft.state;
    if (firstWaiting !== undefined && loadQueryIntervalMs !== undefined) {
        requestLoads(draft, name, { route: firstWaiting.route, minIntervalMs: loadQueryIntervalMs });
    }
};
