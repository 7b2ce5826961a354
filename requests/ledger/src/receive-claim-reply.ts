import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import type { CallerAnswer } from "./caller-answer.js";
import { callerAnswers } from "./caller-answers.js";
import type { ClaimReply } from "./claim-reply.js";
import { endUngrantedRequest } from "./end-ungranted-request.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { LedgerEvent } from "./ledger-event.js";
import { ledgerReason } from "./ledger-reason.js";
import type { LedgerState } from "./ledger-state.js";
import { LEDGER_TIMING } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";
import type { StoredResponse } from "./stored-response.js";

const toCompletedAnswer = (response: StoredResponse | undefined): CallerAnswer =>
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

const toCallerAnswer = (reply: Exclude<ClaimReply, { type: "granted"; }>): CallerAnswer => {
    switch (reply.type) {
        case "in-progress":
            return callerAnswers.keyInProgress;
        case "completed":
            return toCompletedAnswer(reply.response);
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

// An earlier request with the same key usually ends soon, and its response then answers this request too.
const shouldWaitForEarlierRequest = (request: KeyedRequest, atMs: number): boolean =>
    atMs < request.deadlineAtMs
    && atMs - (request.inProgressSinceMs ?? atMs) < LEDGER_TIMING.inProgressWaitMs;

/** Handles the owner's reply to a claim, or a failed call. Ignores replies for requests that have ended or are granted. */
export const receiveClaimReply = (
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
        const nextSendAtMs = Math.min(request.nextSendAtMs, atMs + LEDGER_TIMING.claimRetryMs);
        const retrying = { ...request, nextSendAtMs, isOwnerUnknown: request.isOwnerUnknown || isWrongOwner };
        return { state: { ...state, requests: HashMap.set(state.requests, requestId, retrying) }, effects: [] };
    }
    if (reply.type === "in-progress" && shouldWaitForEarlierRequest(request, atMs)) {
        const waiting = {
            ...request,
            undecidedSinceMs: atMs,
            inProgressSinceMs: request.inProgressSinceMs ?? atMs,
            nextSendAtMs: atMs + LEDGER_TIMING.claimRetryMs,
        };
        return { state: { ...state, requests: HashMap.set(state.requests, requestId, waiting) }, effects: [] };
    }
    if (reply.type !== "granted") {
        return endUngrantedRequest(state, { request, answer: toCallerAnswer(reply), isDecided: true, atMs });
    }
    if (atMs >= request.deadlineAtMs) {
        return endUngrantedRequest(state, { request, answer: callerAnswers.deadlinePassed, isDecided: false, atMs });
    }
    const granted = { ...request, phase: "granted" as const, owner: event.owner };
    return {
        state: { ...state, requests: HashMap.set(state.requests, requestId, granted) },
        effects: [{ type: "route-request", requestId }],
    };
};
