import * as HashMap from "effect/HashMap";
import { decideClaim } from "./decide-claim.js";
import type { LedgerEvent } from "./ledger-event.js";
import { ledgerReason } from "./ledger-reason.js";
import type { LedgerState } from "./ledger-state.js";
import { LEDGER_TIMING } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";

/** Replies to a claim as the owner, or lets the claim wait for the bound. */
export const receiveClaim = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "claim-received"; }>,
): LedgerTransition => {
    const { rpcId, atMs, request } = event;
    const { state: next, reply } = decideClaim(state, event);
    if (reply !== "wait") {
        return { state: next, effects: [{ type: "answer-claim", rpcId, reply }] };
    }
    if (HashMap.has(state.waitingClaims, rpcId)) {
        return { state, effects: [] };
    }
    if (HashMap.size(state.waitingClaims) >= state.waitingLimit) {
        const refusal = {
            type: "refused" as const,
            reasonCode: ledgerReason.ledgerFull,
            retryAfterMs: LEDGER_TIMING.retryAfterMs,
        };
        return { state, effects: [{ type: "answer-claim", rpcId, reply: refusal }] };
    }
    const expiresAtMs = atMs + LEDGER_TIMING.boundWaitMs;
    return {
        state: { ...state, waitingClaims: HashMap.set(state.waitingClaims, rpcId, { request, expiresAtMs }) },
        effects: [],
    };
};
