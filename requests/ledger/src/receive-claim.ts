import * as HashMap from "effect/HashMap";
import { decideClaim } from "./decide-claim.js";
import type { LedgerEvent } from "./ledger-event.js";
import { ledgerReason } from "./ledger-reason.js";
import type { LedgerState } from "./ledger-state.js";
import { ledgerTiming } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";

/** Answers a claim as the owner, or lets it wait for the bound. */
export const receiveClaim = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "claim-received"; }>,
): LedgerTransition => {
    const { rpcId, atMs, request } = event;
    const { state: next, reply } = decideClaim(state, event);
    if (reply !== "wait") {
        return { state: next, effects: [{ type: "answer-claim", rpcId, reply }] };
    }
    if (HashMap.has(state.waiting, rpcId)) {
        return { state, effects: [] };
    }
    if (HashMap.size(state.waiting) >= state.waitingLimit) {
        const refusal = {
            type: "refused" as const,
            reasonCode: ledgerReason.ledgerFull,
            retryAfterMs: ledgerTiming.retryAfterMs,
        };
        return { state, effects: [{ type: "answer-claim", rpcId, reply: refusal }] };
    }
    const untilMs = atMs + ledgerTiming.boundWaitMs;
    return { state: { ...state, waiting: HashMap.set(state.waiting, rpcId, { request, untilMs }) }, effects: [] };
};
