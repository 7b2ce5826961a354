import { rollingCounts } from "@marigoldstall/routing.state";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { earnHedgeCredit } from "./earn-hedge-credit.js";
import { matchRoute } from "./match-route.js";
import { pickDestination } from "./pick-destination.js";
import { rejectHeldBack } from "./reject-held-back.js";
import { rejectTooLateForStop } from "./reject-too-late-for-stop.js";
import { requestLoads } from "./request-loads.js";

type RequestArrived = Extract<DispatchEvent, { readonly type: "request-arrived"; }>;

const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

const rejectUnrouted = (
    draft: DispatchDraft,
    event: RequestArrived,
    opts: { readonly statusCode: number; readonly reason: string; },
): void => {
    const { statusCode, reason } = opts;
    const { requestKey, requestId } = event;
    const retryAfterMs = statusCode === STATUS_UNAVAILABLE ? DISPATCH_LIMITS.minRetryAfterMs : undefined;
    draft.emit({ type: "reject-request", requestKey, statusCode, reason, retryAfterMs });
    draft.log({
        kind: "reject",
        requestId,
        reason,
        inputs: {
            statusCode,
            host: event.host,
            path: event.path,
            configurationVersion: draft.state.configuration?.version ?? 0,
        },
    });
};

/** Handles a completely received request: finds its route and service, and sends or queues it. */
export const onRequestArrived = (draft: DispatchDraft, event: RequestArrived): void => {
    const { configuration } = draft.state;
    if (configuration === undefined) {
        rejectUnrouted(draft, event, { statusCode: STATUS_UNAVAILABLE, reason: "no-configuration" });
        return;
    }
    const route = matchRoute(configuration, event);
    if (route === undefined) {
        rejectUnrouted(draft, event, { statusCode: STATUS_NOT_FOUND, reason: "no-route" });
        return;
    }
    const picked = pickDestination(route.destinations, {
        credits: draft.state.splitCreditsByRoute.get(route.name),
        random: event.random,
    });
    if (picked === undefined) {
        rejectUnrouted(draft, event, { statusCode: STATUS_UNAVAILABLE, reason: "route-without-service" });
        return;
    }
    if (route.destinations.length > 1) {
        draft.setSplitCredits(route.name, picked.credits);
    }
    const { requestKey, requestId, receivedAtMs, deadlineMs } = event;
    const name = picked.destination.service;
    const service = draft.service(name);
    draft.setRequest({
        requestKey,
        requestId,
        path: event.path,
        fingerprint: event.fingerprint,
        route,
        service: name,
        arrivedAtMs: receivedAtMs,
        targetAtMs: receivedAtMs + route.latencyTargetMs - DISPATCH_LIMITS.callerRoundTripMs,
        deadlineAtMs: receivedAtMs + Math.min(deadlineMs ?? Infinity, route.timeoutMs),
        attempts: [],
        sentCount: 0,
        unsentCount: 0,
        checkCount: 0,
        triedInstanceIds: [],
        mayHaveRun: false,
        callerLeft: false,
    });
    draft.setService({
        ...service,
        queue: [...service.queue, requestKey],
        requests: rollingCounts.add(service.requests, draft.atMs),
        hedging: earnHedgeCredit(service.hedging, draft.state.hedgeShare),
    });
    const request = draft.request(requestKey);
    if (request !== undefined && (rejectHeldBack(draft, request) || rejectTooLateForStop(draft, request))) {
        return;
    }
    if (draft.atMs - service.loadsAnsweredAtMs > DISPATCH_LIMITS.loadsFreshForMs) {
        requestLoads(draft, name, { route, minIntervalMs: DISPATCH_LIMITS.loadAnswerTimeoutMs });
    }
    drainQueue(draft, name);
};
