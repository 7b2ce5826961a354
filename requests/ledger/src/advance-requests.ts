import * as HashMap from "effect/HashMap";
import { advanceRequest } from "./advance-request.js";
import { findGoverningTerm } from "./find-governing-term.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { LedgerEffect } from "./ledger-effect.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";

const isOwnerNew = (state: LedgerState, request: KeyedRequest): boolean => {
    const governing = findGoverningTerm(state, request);
    return governing !== undefined && governing !== "too-old"
        && (request.owner === undefined || !isSameDaemon(governing.term.owner, request.owner));
};

/** Advances all claiming requests that are due, are past their deadline, or whose key has a new owner. */
export const advanceRequests = (state: LedgerState, atMs: number): LedgerTransition => {
    let next = state;
    const effects: LedgerEffect[] = [];
    for (const request of HashMap.values(state.requests)) {
        const isDue = atMs >= Math.min(request.nextSendAtMs, request.deadlineAtMs) || isOwnerNew(state, request);
        if (request.phase === "claiming" && isDue) {
            const transition = advanceRequest(next, request, atMs);
            next = transition.state;
            effects.push(...transition.effects);
        }
    }
    return { state: next, effects };
};
