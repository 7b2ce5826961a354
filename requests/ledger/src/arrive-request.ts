import * as HashMap from "effect/HashMap";
import { advanceRequest } from "./advance-request.js";
import { callerAnswers } from "./caller-answers.js";
import { endClaiming } from "./end-claiming.js";
import { keyTime } from "./key-time.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";

/** Takes a caller's request with a key, and claims the key. */
export const arriveRequest = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "keyed-request-arrived"; }>,
): LedgerTransition => {
    const { requestId, service, fingerprint, deadlineAtMs, atMs } = event;
    // The hexadecimal digits of a UUID may be of either case; a repetition must find the same key.
    const key = event.key.toLowerCase();
    const keyTimeMs = keyTime(key);
    const request: KeyedRequest = {
        phase: "claiming",
        requestId,
        service,
        key,
        keyTimeMs: keyTimeMs ?? 0,
        share: keyTimeMs === undefined ? 0 : state.shareOf(service, key),
        fingerprint,
        deadlineAtMs,
        owner: undefined,
        contacted: [],
        claimsSent: 0,
        nextSendAtMs: atMs,
        undecidedSinceMs: atMs,
        inProgressSinceMs: undefined,
        isOwnerMissing: false,
    };
    if (keyTimeMs === undefined) {
        return endClaiming(state, { request, answer: callerAnswers.keyInvalid, isDecided: true, atMs });
    }
    if (HashMap.size(state.requests) >= state.waitingLimit) {
        return endClaiming(state, { request, answer: callerAnswers.ledgerFull, isDecided: true, atMs });
    }
    if (atMs >= deadlineAtMs) {
        return endClaiming(state, { request, answer: callerAnswers.deadlinePassed, isDecided: true, atMs });
    }
    return advanceRequest(state, request, atMs);
};
