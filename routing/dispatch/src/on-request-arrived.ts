import { rollingCounts } from "@marigoldstall/routing.state";
import { authorizeRequest } from "./authorize-request.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { earnHedgeCredit } from "./earn-hedge-credit.js";
import { matchRoute } from "./match-route.js";
import { pickDestination } from "./pick-destination.js";
import { queueRequest } from "./queue-request.js";
import { REJECT_REASONS } from "./reject-reasons.js";

type RequestArrived = Extract<DispatchEvent, { readonly type: "request-arrived"; }>;

const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
const MAX_LOGGED_AGE_MS = 1e6;

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
            configurationAgeMs: Math.round(Math.min(event.configurationAgeMs ?? 0, MAX_LOGGED_AGE_MS)),
        },
    });
};

/** Handles a completely received request: finds its route, tenant and service, and sends or queues it. */
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
    const { keyLeaseMs } = draft.state;
    const { apiKey, configurationAgeMs = 0 } = event;
    const { tenant, rejectReason } = authorizeRequest(configuration, route, { apiKey, configurationAgeMs, keyLeaseMs });
    if (rejectReason !== undefined) {
        const statusCode = rejectReason === REJECT_REASONS.unknownApiKey ? STATUS_UNAUTHORIZED : STATUS_UNAVAILABLE;
        rejectUnrouted(draft, event, { statusCode, reason: rejectReason });
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
    const usesQuota = draft.state.limitsTenants && tenant?.quota !== undefined ? undefined : false;
    draft.setRequest({
        requestKey,
        requestId,
        path: event.path,
        fingerprint: event.fingerprint,
        route,
        tenant,
        hidesApiKey: configuration.tenantsByKey !== undefined,
        usesQuota,
        priority: tenant?.priority ?? route.priority,
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
        requests: rollingCounts.add(service.requests, draft.atMs),
        hedging: earnHedgeCredit(service.hedging, draft.state.hedgeShare),
    });
    if (usesQuota === undefined && tenant !== undefined) {
        draft.emit({ type: "request-admission", requestKey, tenantName: tenant.name });
        return;
    }
    queueRequest(draft, requestKey);
};
