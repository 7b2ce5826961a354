import * as HashMap from "effect/HashMap";
import { callerAnswers } from "./caller-answers.js";
import { endClaiming } from "./end-claiming.js";
import { governingTerm } from "./governing-term.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { LedgerState } from "./ledger-state.js";
import { ledgerTiming } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { sameRun } from "./same-run.js";

/** Moves a request that waits for its grant on: sends or repeats its claim, or gives it up. */
export const advanceRequest = (state: LedgerState, request: KeyedRequest, atMs: number): LedgerTransition => {
    const governing = governingTerm(state, request);
    if (governing === "too-old") {
        return endClaiming(state, { request, answer: callerAnswers.keyTooOld, isDecided: false, atMs });
    }
    const { inProgressSinceMs } = request;
    const isWaitOver = inProgressSinceMs !== undefined && atMs - inProgressSinceMs >= ledgerTiming.inProgressWaitMs;
    const undecidedMs = atMs - request.undecidedSinceMs;
    const isOver = atMs >= request.deadlineAtMs;
    if (isWaitOver || (inProgressSinceMs !== undefined && isOver)) {
        return endClaiming(state, { request, answer: callerAnswers.keyInProgress, isDecided: false, atMs });
    }
    if (governing?.endMs !== undefined && (isOver || undecidedMs >= ledgerTiming.endedOwnerMs)) {
        return endClaiming(state, { request, answer: callerAnswers.keyOwnerGone, isDecided: false, atMs });
    }
    const isOwnerMissing = governing === undefined || request.isOwnerMissing;
    if (isOver || (isOwnerMissing && undecidedMs >= ledgerTiming.noOwnerMs)) {
        const answer = isOwnerMissing ? callerAnswers.shareUnavailable : callerAnswers.ownerUnreachable;
        return endClaiming(state, { request, answer, isDecided: false, atMs });
    }
    if (governing === undefined) {
        const waiting = { ...request, nextSendAtMs: atMs + ledgerTiming.claimRetryMs };
        return { state: { ...state, requests: HashMap.set(state.requests, request.requestId, waiting) }, effects: [] };
    }
    const { owner } = governing.term;
    const { service, key, fingerprint, requestId } = request;
    const isContacted = request.contacted.some(daemon => sameRun(daemon, owner));
    const claiming: KeyedRequest = {
        ...request,
        owner,
        contacted: isContacted ? request.contacted : [...request.contacted, owner],
        claimsSent: request.claimsSent + 1,
        nextSendAtMs: atMs + ledgerTiming.claimResendMs,
        isOwnerMissing: false,
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
