import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import type { CallerAnswer } from "./caller-answer.js";
import { callerAnswers } from "./caller-answers.js";
import type { ClaimReply } from "./claim-reply.js";
import { endClaiming } from "./end-claiming.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { LedgerEvent } from "./ledger-event.js";
import { ledgerReason } from "./ledger-reason.js";
import type { LedgerState } from "./ledger-state.js";
import { ledgerTiming } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";
import type { StoredResponse } from "./stored-response.js";

const answerCompleted = (response: StoredResponse | undefined): CallerAnswer =>
    response === undefined ? callerAnswers.responseNotKept : {
        statusCode: response.statusCode,
        outcome: "completed",
        reasonCode: response.bodyBase64 === undefined ? ledgerReason.responseNotKept : undefined,
        retryAfterMs: undefined,
        response,
    };

const answersByReason = new Map<string, CallerAnswer>([
    [ledgerReason.keyInvalid, callerAnswers.keyInvalid],
    [ledgerReason.keyOwnerGone, callerAnswers.keyOwnerGone],
    [ledgerReason.keyTooOld, callerAnswers.keyTooOld],
    [ledgerReason.keyTimeAhead, callerAnswers.keyTimeAhead],
    [ledgerReason.ledgerFull, callerAnswers.ledgerFull],
]);

const answerFor = (reply: Exclude<ClaimReply, { type: "granted"; }>): CallerAnswer => {
    switch (reply.type) {
        case "in-progress":
            return callerAnswers.keyInProgress;
        case "completed":
            return answerCompleted(reply.response);
        case "unknown":
            return callerAnswers.keyOutcomeUnknown;
        case "mismatch":
            return callerAnswers.keyMismatch;
        case "refused": {
            const answer = answersByReason.get(reply.reasonCode) ?? callerAnswers.shareUnavailable;
            return { ...answer, retryAfterMs: reply.retryAfterMs ?? answer.retryAfterMs };
        }
    }
};

// An earlier request with the same key usually ends soon, and its response answers this one as well.
const isWorthWaiting = (request: KeyedRequest, atMs: number): boolean =>
    atMs < request.deadlineAtMs
    && atMs - (request.inProgressSinceMs ?? atMs) < ledgerTiming.inProgressWaitMs;

/** Acts on an owner's answer to a claim. Answers for requests that have ended change nothing. */
export const answerClaim = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "claim-answered"; }>,
): LedgerTransition => {
    const { reply, atMs, requestId } = event;
    const request = Option.getOrUndefined(HashMap.get(state.requests, requestId));
    if (request === undefined || request.phase === "granted") {
        return { state, effects: [] };
    }
    const isWrongOwner = reply?.type === "refused" && reply.reasonCode === ledgerReason.wrongOwner;
    if (reply === undefined || isWrongOwner) {
        const nextSendAtMs = Math.min(request.nextSendAtMs, atMs + ledgerTiming.claimRetryMs);
        const retrying = { ...request, nextSendAtMs, isOwnerMissing: request.isOwnerMissing || isWrongOwner };
        return { state: { ...state, requests: HashMap.set(state.requests, requestId, retrying) }, effects: [] };
    }
    if (reply.type === "in-progress" && isWorthWaiting(request, atMs)) {
        const waiting = {
            ...request,
            undecidedSinceMs: atMs,
            inProgressSinceMs: request.inProgressSinceMs ?? atMs,
            nextSendAtMs: atMs + ledgerTiming.claimRetryMs,
        };
        return { state: { ...state, requests: HashMap.set(state.requests, requestId, waiting) }, effects: [] };
    }
    if (reply.type !== "granted") {
        return endClaiming(state, { request, answer: answerFor(reply), isDecided: true, atMs });
    }
    if (atMs >= request.deadlineAtMs) {
        return endClaiming(state, { request, answer: callerAnswers.deadlinePassed, isDecided: false, atMs });
    }
    const granted = { ...request, phase: "granted" as const, owner: event.owner };
    return {
        state: { ...state, requests: HashMap.set(state.requests, requestId, granted) },
        effects: [{ type: "route-request", requestId }],
    };
};
