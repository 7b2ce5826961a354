import { rollingCounts } from "@marigoldstall/routing.state";
import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { recordHedgeSent } from "./record-hedge-sent.js";
import type { RequestState } from "./request-state.js";
import type { ServerEstimate } from "./server-estimate.js";

const WITHOUT_HUB = -1;
const MAX_LOGGED_AGE_MS = 1e6;

// How long ago the hub recommended servers, or -1 if this VM decides by its own reports.
const selectHubAnswerAgeMs = (draft: DispatchDraft, service: string): number =>
    draft.state.loadQueryIntervalMs === undefined
        ? WITHOUT_HUB
        : Math.round(Math.min(draft.atMs - draft.service(service).loadsAnsweredAtMs, MAX_LOGGED_AGE_MS));

/** Sends a request to the server on which its attempt has reserved a slot. */
export const sendAttempt = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    readonly estimate: ServerEstimate;
    readonly candidateCount: number;
}): void => {
    const { atMs } = draft;
    const { estimate, attempt } = opts;
    const { server, load, requestLimit } = estimate.server;
    const { attemptId, instanceId } = attempt;
    const isResend = request.sentCount > 0;
    const sent: AttemptState = {
        ...attempt,
        phase: "sent",
        startedAtMs: atMs,
        expectedMs: estimate.totalMs,
        reportBasedMs: estimate.reportBasedMs,
        slowness: estimate.slowness,
        reportAgeMs: estimate.reportAgeMs,
        tookLastSlot: estimate.takesLastSlot,
        slowChance: Math.min(1, estimate.reportAgeMs / DISPATCH_LIMITS.slownessValidForMs)
            * DISPATCH_LIMITS.slowVmShare,
    };
    draft.setRequest({
        ...request,
        attempts: request.attempts.map(other => other.attemptId === attemptId ? sent : other),
        sentCount: request.sentCount + 1,
        triedInstanceIds: [...request.triedInstanceIds, instanceId],
    });
    // The slot was reserved when the attempt started; from now on, it counts from the time of the send.
    draft.updateServer(instanceId, {
        isUsed: true,
        unreportedSends: [
            ...(draft.server(instanceId)?.unreportedSends ?? []).filter(send =>
                send.vmId !== undefined || send.sentAtMs !== attempt.startedAtMs
            ),
            { sentAtMs: atMs, vmId: undefined },
        ],
    });
    if (isResend) {
        const service = draft.service(request.service);
        draft.setService({ ...service, resends: rollingCounts.add(service.resends, atMs) });
        if (attempt.isHedge) {
            recordHedgeSent(draft, request.service);
        }
    }
    draft.emit({
        type: "start-attempt",
        attemptId,
        requestKey: request.requestKey,
        instanceId,
        address: server.address,
        tenantName: request.tenant?.name,
        hidesApiKey: request.hidesApiKey,
        // The server stops its work in time for its response to leave the process.
        deadlineAtMs: Math.min(
            request.deadlineAtMs - DISPATCH_LIMITS.deadlineMarginMs,
            draft.state.processEndsAtMs - DISPATCH_LIMITS.processEndMarginMs,
        ),
    });
    draft.log({
        kind: attempt.isHedge ? "hedge" : isResend ? "retry" : "send",
        requestId: request.requestId,
        service: request.service,
        instanceId,
        inputs: {
            attempt: attemptId,
            candidates: opts.candidateCount,
            checks: request.checkCount,
            occupied: estimate.occupied,
            slots: server.slots,
            idleConnections: estimate.server.idleConnections,
            expectedMs: Math.round(estimate.totalMs),
            slownessPercent: load?.slownessPercent ?? -1,
            loadAgeMs: Math.round(Math.min(estimate.reportAgeMs, MAX_LOGGED_AGE_MS)),
            hubAnswerAgeMs: selectHubAnswerAgeMs(draft, request.service),
            waitedMs: Math.round(atMs - request.arrivedAtMs),
            remainingMs: Math.round(request.deadlineAtMs - atMs),
            ...requestLimit.perSecond === undefined ? {} : { limitPerSecond: requestLimit.perSecond },
        },
    });
};
