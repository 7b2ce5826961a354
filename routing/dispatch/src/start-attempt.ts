import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { RequestState } from "./request-state.js";
import { sendAttempt } from "./send-attempt.js";
import type { ServerEstimate } from "./server-estimate.js";

/**
 * Takes a place at a server for a request. If the newest load report is not fresh enough, the server is asked first;
 * this also finds connections and servers that work no more before anything is sent.
 */
export const startAttempt = (draft: DispatchDraft, request: RequestState, opts: {
    readonly estimate: ServerEstimate;
    readonly candidateCount: number;
    readonly isHedge: boolean;
}): void => {
    const { atMs } = draft;
    const { estimate, isHedge, candidateCount } = opts;
    const { server, sendings, ownInFlight } = estimate.server;
    const { instanceId, address } = server;
    const healthPath = draft.base.configuration?.services.get(server.service)?.healthPath;
    const isAsked = healthPath !== undefined && draft.service(server.service).tellsLoad
        && estimate.reportAgeMs > DISPATCH_LIMITS.checkAgeMs && request.checkCount < DISPATCH_LIMITS.maxChecks;
    const attemptId = String(draft.base.nextAttempt);
    draft.update({ nextAttempt: draft.base.nextAttempt + 1 });
    const attempt: AttemptState = {
        attemptId,
        instanceId,
        phase: "checking",
        startedAtMs: atMs,
        expectedMs: estimate.totalMs,
        steadyMs: estimate.steadyMs,
        slowness: estimate.slowness,
        reportAgeMs: estimate.reportAgeMs,
        slowChance: 0,
        tookLastSlot: estimate.takesLastSlot,
        awaitsReport: true,
        isHedge,
    };
    const started = {
        ...request,
        attempts: [...request.attempts, attempt],
        checkCount: request.checkCount + (isAsked ? 1 : 0),
    };
    draft.setRequest(started);
    draft.setAttemptRequest(attemptId, request.requestKey);
    const service = draft.service(request.service);
    draft.setService({
        ...service,
        queue: service.queue.filter(key => key !== request.requestKey),
        running: new Set(service.running).add(request.requestKey),
    });
    draft.updateServer(instanceId, {
        ownInFlight: ownInFlight + 1,
        sendings: [...sendings.filter(sentAtMs => atMs - sentAtMs <= DISPATCH_LIMITS.sendingLifeMs), atMs],
    });
    if (isAsked) {
        draft.emit({ type: "check-server", attemptId, instanceId, address, healthPath });
        return;
    }
    sendAttempt(draft, started, { attempt, estimate, candidateCount });
};
