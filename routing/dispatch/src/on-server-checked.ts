import type { AttemptState } from "./attempt-state.js";
import { chooseServer } from "./choose-server.js";
import { decideSending } from "./decide-sending.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { endAttempt } from "./end-attempt.js";
import { listEstimates } from "./list-estimates.js";
import { noteFailure } from "./note-failure.js";
import { noteLoad } from "./note-load.js";
import type { RequestState } from "./request-state.js";
import { selectAttempt } from "./select-attempt.js";
import { sendAttempt } from "./send-attempt.js";
import type { ServerEstimate } from "./server-estimate.js";
import { startAttempt } from "./start-attempt.js";

type ServerChecked = Extract<DispatchEvent, { readonly type: "server-checked"; }>;

const FAILURE_WEIGHT = 0.5;

// The request waits again, in its old place, as the order of the queue is by target and not by arrival.
const waitAgain = (draft: DispatchDraft, request: RequestState): void => {
    const service = draft.service(request.service);
    const running = new Set(service.running);
    running.delete(request.requestKey);
    draft.setService({ ...service, running, queue: [...service.queue, request.requestKey] });
};

// Takes the place again, now that the report counts those of others, and sends.
const keepPlace = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    readonly estimate: ServerEstimate;
    readonly candidateCount: number;
}): void => {
    const attempt = { ...opts.attempt, startedAtMs: draft.atMs };
    const { attemptId, instanceId } = attempt;
    const back = { ...request, attempts: [...request.attempts, attempt] };
    draft.setRequest(back);
    draft.setAttemptRequest(attemptId, request.requestKey);
    const ownInFlight = draft.server(instanceId)?.ownInFlight ?? 0;
    draft.updateServer(instanceId, { ownInFlight: ownInFlight + 1 });
    sendAttempt(draft, back, { ...opts, attempt });
};

const NO_FIGURE = -1;

// Says why a server that was asked does not get the request.
const logMove = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    readonly checked: ServerEstimate | undefined;
    readonly estimate: ServerEstimate | undefined;
}): void => {
    const { attempt, checked, estimate } = opts;
    const { instanceId, reportAgeMs, slowness } = attempt;
    draft.log({
        kind: "move",
        requestId: request.requestId,
        service: request.service,
        instanceId,
        reason: estimate === undefined ? "wait" : "another-server",
        inputs: {
            to: estimate?.server.server.instanceId ?? "",
            slowness,
            loadAgeMs: Math.round(Math.min(reportAgeMs, 1e6)),
            slownessNow: checked?.slowness ?? NO_FIGURE,
            occupiedNow: checked?.occupied ?? NO_FIGURE,
            costMs: Math.round(checked?.costMs ?? NO_FIGURE),
            otherCostMs: Math.round(estimate?.costMs ?? NO_FIGURE),
        },
    });
};

/** The server said how it is: sends the request, takes it to a server that is better now, or lets it wait. */
export const onServerChecked = (draft: DispatchDraft, event: ServerChecked): void => {
    const found = selectAttempt(draft.base, event.attemptId);
    if (found === undefined) {
        return;
    }
    const { attempt } = found;
    const { requestKey, service: name } = found.request;
    const { instanceId, isHedge } = attempt;
    if (!event.isAnswered) {
        noteFailure(draft, instanceId, { reason: "check-failed", weight: FAILURE_WEIGHT });
    }
    else {
        draft.updateServer(instanceId, { isUnhealthy: !event.isHealthy });
        if (event.load === undefined) {
            draft.updateService(name, { tellsLoad: false });
        }
        else {
            noteLoad(draft, instanceId, { load: event.load, measuredAtMs: draft.atMs });
        }
    }
    const ended = endAttempt(draft, draft.request(requestKey) ?? found.request, attempt);
    const request = !event.isAnswered
        ? { ...ended, triedInstanceIds: [...ended.triedInstanceIds, instanceId] }
        : ended;
    draft.setRequest(request);
    const service = draft.service(name);
    const estimates = listEstimates(draft, service, request);
    const candidateCount = estimates.length;
    // A request that is under way elsewhere does not wait: its second send happens now or not at all.
    const estimate = request.attempts.length > 0 || request.sentCount > 0
        ? chooseServer(draft, estimates)
        : decideSending(draft, request, { service, estimates });
    const checked = estimate?.server.server.instanceId === instanceId
        ? estimate
        : chooseServer(draft, estimates, other => other.server.server.instanceId === instanceId);
    const isKept = estimate !== undefined && checked !== undefined
        && checked.costMs <= estimate.costMs + DISPATCH_LIMITS.moveMarginMs;
    if (isKept) {
        keepPlace(draft, request, { attempt, estimate: checked, candidateCount });
        drainQueue(draft, name);
        return;
    }
    logMove(draft, request, { attempt, checked, estimate });
    if (estimate !== undefined) {
        startAttempt(draft, request, { estimate, candidateCount, isHedge });
    }
    else if (request.attempts.length === 0) {
        waitAgain(draft, request);
    }
    drainQueue(draft, name);
};
