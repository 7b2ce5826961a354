import { chooseServer } from "./choose-server.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { endAttempt } from "./end-attempt.js";
import { estimateServer } from "./estimate-server.js";
import { noteFailure } from "./note-failure.js";
import { noteLoad } from "./note-load.js";
import type { RequestState } from "./request-state.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";
import { sendAttempt } from "./send-attempt.js";
import { startAttempt } from "./start-attempt.js";

type ServerChecked = Extract<DispatchEvent, { readonly type: "server-checked"; }>;

const FAILURE_WEIGHT = 0.5;

// Gives the place back and looks for another one; without one, the request waits again.
const move = (draft: DispatchDraft, request: RequestState, isHedge: boolean): void => {
    const service = draft.service(request.service);
    const { best, candidateCount } = chooseServer(draft, service, request);
    if (best !== undefined) {
        startAttempt(draft, request, { estimate: best, candidateCount, isHedge });
    }
    else if (request.attempts.length === 0) {
        const running = new Set(service.running);
        running.delete(request.requestKey);
        draft.setService({ ...service, running, queue: [...service.queue, request.requestKey] });
        drainQueue(draft, request.service);
    }
};

/** The server said how it is: sends the request, or takes it to a server that is better now. */
export const onServerChecked = (draft: DispatchDraft, event: ServerChecked): void => {
    const found = draft.requestOfAttempt(event.attemptId);
    const attempt = found?.attempts.find(other => other.attemptId === event.attemptId);
    if (found === undefined || attempt === undefined) {
        return;
    }
    const { atMs } = draft;
    const { instanceId } = attempt;
    if (event.load === undefined) {
        noteFailure(draft, instanceId, { reason: "check-failed", weight: FAILURE_WEIGHT });
    }
    else {
        noteLoad(draft, instanceId, { load: event.load, measuredAtMs: atMs });
    }
    const request = endAttempt(draft, draft.request(found.requestKey) ?? found, attempt);
    const service = draft.service(request.service);
    const server = draft.server(instanceId);
    if (server === undefined || server.server.isDraining) {
        move(draft, request, attempt.isHedge);
        return;
    }
    if (event.load === undefined) {
        move(draft, { ...request, triedInstanceIds: [...request.triedInstanceIds, instanceId] }, attempt.isHedge);
        return;
    }
    const estimate = estimateServer(service, server, {
        atMs,
        availabilityZone: draft.base.availabilityZone,
        workMs: selectWorkMs(service, request.route),
        responseBytes: selectResponseBytes(service, request.route),
    });
    const { best, candidateCount } = chooseServer(draft, service, request);
    const isWorse = best !== undefined && best.server.server.instanceId !== instanceId
        && best.costMs + DISPATCH_LIMITS.moveMarginMs < estimate.costMs;
    const isFull = estimate.occupied >= server.server.slots + DISPATCH_LIMITS.queueAhead;
    if ((isWorse || isFull) && request.checkCount < DISPATCH_LIMITS.maxChecks) {
        move(draft, request, attempt.isHedge);
        return;
    }
    // The place is taken again, now that the report counts those of others.
    const renewed = { ...attempt, startedAtMs: atMs };
    const back = { ...request, attempts: [...request.attempts, renewed] };
    draft.setRequest(back);
    draft.setAttemptRequest(attempt.attemptId, request.requestKey);
    draft.updateServer(instanceId, { ownInFlight: server.ownInFlight + 1 });
    sendAttempt(draft, back, { attempt: renewed, estimate, candidateCount });
};
