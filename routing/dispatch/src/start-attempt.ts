import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { requestPermit } from "./request-permit.js";
import type { RequestState } from "./request-state.js";
import { selectPermitRate } from "./select-permit-rate.js";
import { sendAttempt } from "./send-attempt.js";
import type { ServerEstimate } from "./server-estimate.js";

/**
 * Starts an attempt and reserves a slot on its server. If the latest load report is not fresh enough, a preflight
 * check of the server, a health check right before the request is sent, comes first. It also detects broken connections
 * and servers before anything is sent. A server that limits its requests gets no check: a permit comes first. A cold
 * server is checked like any other before the permit is asked for, as the check costs it no request.
 */
export const startAttempt = (draft: DispatchDraft, request: RequestState, opts: {
    readonly estimate: ServerEstimate;
    readonly candidateCount: number;
    readonly isHedge: boolean;
}): void => {
    const { atMs } = draft;
    const { estimate, isHedge, candidateCount } = opts;
    const { server, unreportedSends, ownInFlight } = estimate.server;
    const { instanceId, address } = server;
    const healthPath = draft.state.configuration?.services.get(server.service)?.healthPath;
    const needsPermit = selectPermitRate(draft.state, estimate.server, atMs) !== undefined;
    const statesLimit = estimate.server.requestLimit.perSecond !== undefined;
    const needsCheck = !statesLimit && healthPath !== undefined && draft.service(server.service).reportsLoad
        && estimate.reportAgeMs > DISPATCH_LIMITS.reportFreshForMs && request.checkCount < DISPATCH_LIMITS.maxChecks;
    const attemptId = String(draft.state.nextAttempt);
    draft.update({ nextAttempt: draft.state.nextAttempt + 1 });
    const attempt: AttemptState = {
        attemptId,
        instanceId,
        phase: needsPermit && !needsCheck ? "awaiting-permit" : "checking",
        startedAtMs: atMs,
        expectedMs: estimate.totalMs,
        reportBasedMs: estimate.reportBasedMs,
        slowness: estimate.slowness,
        reportAgeMs: estimate.reportAgeMs,
        slowChance: 0,
        tookLastSlot: estimate.takesLastSlot,
        awaitsReport: true,
        isHedge,
        checkedOnOpenConnection: needsCheck && estimate.server.idleConnections > 0,
    };
    const started = {
        ...request,
        attempts: [...request.attempts, attempt],
        checkCount: request.checkCount + (needsCheck ? 1 : 0),
    };
    draft.setRequest(started);
    draft.setRequestOfAttempt(attemptId, request.requestKey);
    const service = draft.service(request.service);
    draft.setService({
        ...service,
        queue: service.queue.filter(key => key !== request.requestKey),
        running: new Set(service.running).add(request.requestKey),
    });
    draft.updateServer(instanceId, {
        ownInFlight: ownInFlight + 1,
        unreportedSends: [
            ...unreportedSends.filter(({ sentAtMs }) => atMs - sentAtMs <= DISPATCH_LIMITS.unreportedSendValidForMs),
            { sentAtMs: atMs, vmId: undefined },
        ],
    });
    if (needsCheck) {
        draft.emit({ type: "check-server", attemptId, instanceId, address, healthPath });
        return;
    }
    if (needsPermit) {
        requestPermit(draft, attempt, estimate.server);
        return;
    }
    sendAttempt(draft, started, { attempt, estimate, candidateCount });
};
