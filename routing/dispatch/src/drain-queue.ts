import { compareWaiting } from "./compare-waiting.js";
import { decideSending } from "./decide-sending.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { estimateQueueWaitMs } from "./estimate-queue-wait-ms.js";
import { isTooLate } from "./is-too-late.js";
import { listEstimates } from "./list-estimates.js";
import { REJECT_REASONS } from "./reject-reasons.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { selectRemainingMs } from "./select-remaining-ms.js";
import { selectWorkMs } from "./select-work-ms.js";
import { startAttempt } from "./start-attempt.js";

const listWaiting = (draft: DispatchDraft, name: string): readonly RequestState[] => {
    const { atMs } = draft;
    const service = draft.service(name);
    return service.queue
        .flatMap(requestKey => draft.request(requestKey) ?? [])
        .map(request => ({ request, neededMs: selectWorkMs(service, request.route) }))
        .sort((a, b) => compareWaiting(a, b, atMs))
        .map(({ request }) => request);
};

/** Sends the waiting requests of a service for which a server has room, and rejects those that cannot be served. */
export const drainQueue = (draft: DispatchDraft, name: string): void => {
    const { atMs } = draft;
    let ahead = 0;
    for (const request of listWaiting(draft, name)) {
        const service = draft.service(name);
        if (isTooLate(service, request, atMs)) {
            rejectRequest(draft, request, { reason: REJECT_REASONS.tooLate });
            continue;
        }
        const estimates = listEstimates(draft, service, request);
        const estimate = decideSending(draft, request, { service, estimates });
        if (estimates.length === 0) {
            rejectRequest(draft, request, { reason: REJECT_REASONS.noServer });
        }
        else if (estimate !== undefined) {
            startAttempt(draft, request, { estimate, candidateCount: estimates.length, isHedge: false });
        }
        else {
            const waitMs = estimateQueueWaitMs(draft, service, { request, ahead });
            if (waitMs > selectRemainingMs(request, atMs)) {
                rejectRequest(draft, request, { reason: REJECT_REASONS.queueTooLong, waitMs });
            }
            else {
                ahead += 1;
            }
        }
    }
};
