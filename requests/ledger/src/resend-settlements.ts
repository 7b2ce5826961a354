import * as HashMap from "effect/HashMap";
import type { LedgerEffect } from "./ledger-effect.js";
import type { LedgerState } from "./ledger-state.js";
import { LEDGER_TIMING } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";

/** Resends unconfirmed settlements and drops expired ones, whose keys the owner then reports as `unknown`. */
export const resendSettlements = (state: LedgerState, atMs: number): LedgerTransition => {
    let { settlements, settlementBytes } = state;
    const effects: LedgerEffect[] = [];
    for (const [requestId, pending] of HashMap.entries(state.settlements)) {
        if (atMs >= pending.giveUpAtMs) {
            settlements = HashMap.remove(settlements, requestId);
            settlementBytes -= pending.storedBytes;
        }
        else if (atMs >= pending.nextSendAtMs) {
            const nextSendAtMs = atMs + LEDGER_TIMING.settleResendMs;
            settlements = HashMap.set(settlements, requestId, { ...pending, nextSendAtMs });
            effects.push(
                ...pending.owners.map(owner => ({ type: "send-settle" as const, owner, request: pending.request })),
            );
        }
    }
    return { state: { ...state, settlements, settlementBytes }, effects };
};
