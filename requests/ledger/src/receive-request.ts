import * as HashMap from "effect/HashMap";
import { advanceRequest } from "./advance-request.js";
import { callerAnswers } from "./caller-answers.js";
import { endUngrantedRequest } from "./end-ungranted-request.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { parseKeyTime } from "./parse-key-time.js";

/** Accepts a caller's request with an idempotency key and claims the key, or rejects the request. */
export const receiveRequest = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "keyed-request-arrived"; }>,
): LedgerTransition => {
    const { requestId, service, fingerprint, deadlineAtMs, atMs } = event;
    // The hexadecimal digits of a UUID may be in either case; a repeated request must map to the same key.
    const key = event.key.toLowerCase();
    const keyTimeMs = parseKeyTime(key);
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
        contactedOwners: [],
        claimsSent: 0,
        nextSendAtMs: atMs,
        undecidedSinceMs: atMs,
        inProgressSinceMs: undefined,
        isOwnerUnknown: false,
    };
    if (keyTimeMs === undefined) {
        return endUngrantedRequest(state, { request, answer: callerAnswers.keyInvalid, isDecided: true, atMs });
    }
    if (HashMap.size(state.requests) >= state.waitingLimit) {
        return endUngrantedRequest(state, { request, answer: callerAnswers.ledgerFull, isDecided: true, atMs });
    }
    if (atMs >= deadlineAtMs) {
        return endUngrantedRequest(state, { request, answer: callerAnswers.deadlinePassed, isDecided: true, atMs });
    }
    return advanceRequest(state, request, atMs);
};
