import { rollingCounts } from "@marigoldstall/routing.state";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { RequestState } from "./request-state.js";
import type { ServerEstimate } from "./server-estimate.js";

/** Sends a request to a server. */
export const startAttempt = (draft: DispatchDraft, request: RequestState, opts: {
    readonly estimate: ServerEstimate;
    readonly candidateCount: number;
    readonly isHedge: boolean;
}): void => {
    const { atMs } = draft;
    const { estimate, isHedge } = opts;
    const { server, sendings, ownInFlight, load, measuredAtMs } = estimate.server;
    const { instanceId } = server;
    const attemptId = String(draft.base.nextAttempt);
    draft.update({ nextAttempt: draft.base.nextAttempt + 1 });
    draft.setRequest({
        ...request,
        attempts: [...request.attempts, {
            attemptId,
            instanceId,
            startedAtMs: atMs,
            expectedMs: estimate.totalMs,
            doneMs: 0,
            doneAtMs: atMs,
            isHedge,
        }],
        sentCount: request.sentCount + 1,
        triedInstanceIds: [...request.triedInstanceIds, instanceId],
    });
    draft.setAttemptRequest(attemptId, request.requestKey);
    const service = draft.service(request.service);
    draft.setService({
        ...service,
        queue: service.queue.filter(key => key !== request.requestKey),
        running: new Set(service.running).add(request.requestKey),
        resends: request.sentCount > 0 ? rollingCounts.add(service.resends, atMs) : service.resends,
    });
    draft.updateServer(instanceId, {
        ownInFlight: ownInFlight + 1,
        sendings: [...sendings.filter(sentAtMs => atMs - sentAtMs <= DISPATCH_LIMITS.sendingLifeMs), atMs],
    });
    draft.emit({
        type: "start-attempt",
        attemptId,
        requestKey: request.requestKey,
        instanceId,
        address: server.address,
        deadlineAtMs: request.deadlineAtMs - DISPATCH_LIMITS.answerMs,
    });
    draft.log({
        kind: isHedge ? "hedge" : request.sentCount > 0 ? "retry" : "send",
        requestId: request.requestId,
        service: request.service,
        instanceId,
        inputs: {
            attempt: attemptId,
            candidates: opts.candidateCount,
            occupied: estimate.occupied,
            slots: server.slots,
            expectedMs: Math.round(estimate.totalMs),
            slownessPercent: load?.slownessPercent ?? -1,
            loadAgeMs: Math.round(Math.min(atMs - measuredAtMs, 1e6)),
            waitedMs: Math.round(atMs - request.arrivedAtMs),
            remainingMs: Math.round(request.deadlineAtMs - atMs),
        },
    });
};
