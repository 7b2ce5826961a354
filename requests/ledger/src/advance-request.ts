import * as HashMap from "effect/HashMap";
import { callerAnswers } from "./caller-answers.js";
import { endUngrantedRequest } from "./end-ungranted-request.js";
import { findGoverningTerm } from "./find-governing-term.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { LedgerState } from "./ledger-state.js";
import { LEDGER_TIMING } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";

/** Sends or resends the claim of a request that is not granted yet, or ends the request if it cannot be granted in time. */
export const advanceRequest = (state: LedgerState, request: KeyedRequest, atMs: number): LedgerTransition => {
    const governing = findGoverningTerm(state, request);
    if (governing === "too-old") {
        return endUngrantedRequest(state, { request, answer: callerAnswers.keyTooOld, isDecided: false, atMs });
    }
    const { inProgressSinceMs } = request;
    const isWaitOver = inProgressSinceMs !== undefined && atMs - inProgressSinceMs >= LEDGER_TIMING.inProgressWaitMs;
    const undecidedMs = atMs - request.undecidedSinceMs;
    const isPastDeadline = atMs >= request.deadlineAtMs;
    if (isWaitOver || (inProgressSinceMs !== undefined && isPastDeadline)) {
        return endUngrantedRequest(state, { request, answer: callerAnswers.keyInProgress, isDecided: false, atMs });
    }
    if (governing?.endMs !== undefined && (isPastDeadline || undecidedMs >= LEDGER_TIMING.endedOwnerTimeoutMs)) {
        return endUngrantedRequest(state, { request, answer: callerAnswers.keyOwnerGone, isDecided: false, atMs });
    }
    const isOwnerUnknown = governing === undefined || request.isOwnerUnknown;
    if (isPastDeadline || (isOwnerUnknown && undecidedMs >= LEDGER_TIMING.unknownOwnerTimeoutMs)) {
        const answer = isOwnerUnknown ? callerAnswers.shareUnavailable : callerAnswers.ownerUnreachable;
        return endUngrantedRequest(state, { request, answer, isDecided: false, atMs });
    }
    if (governing === undefined) {
        const waiting = { ...request, nextSendAtMs: atMs + LEDGER_TIMING.claimRetryMs };
        return { state: { ...state, requests: HashMap.set(state.requests, request.requestId, waiting) }, effects: [] };
    }
    const { owner } = governing.term;
    const { service, key, fingerprint, requestId } = request;
    const isContacted = request.contactedOwners.some(daemon => isSameDaemon(daemon, owner));
    const claiming: KeyedRequest = {
        ...request,
        owner,
        contactedOwners: isContacted ? request.contactedOwners : [...request.contactedOwners, owner],
        claimsSent: request.claimsSent + 1,
        nextSendAtMs: atMs + LEDGER_TIMING.claimResendMs,
        isOwnerUnknown: false,
    };
    const remainingMs = Math.max(0, request.deadlineAtMs - atMs);
    return {
        state: { ...state, requests: HashMap.set(state.requests, requestId, claiming) },
        effects: [{
            type: "send-claim",
            owner,
            request: { service, key, fingerprint, requestId, runner: state.self, remainingMs },
        }],
    };
};
