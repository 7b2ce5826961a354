import * as HashMap from "effect/HashMap";
import { decideClaim } from "./decide-claim.js";
import type { LedgerEffect } from "./ledger-effect.js";
import { ledgerReason } from "./ledger-reason.js";
import type { LedgerState } from "./ledger-state.js";
import { LEDGER_TIMING } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";

/** Decides the waiting claims whose key time is now below the bound, and refuses those that have waited too long. */
export const decideWaitingClaims = (
    state: LedgerState,
    now: { readonly atMs: number; readonly wallMs: number; },
): LedgerTransition => {
    let next = state;
    const effects: LedgerEffect[] = [];
    for (const [rpcId, { request, expiresAtMs }] of HashMap.entries(state.waitingClaims)) {
        const decision = decideClaim(next, { ...now, request });
        if (decision.reply === "wait" && now.atMs < expiresAtMs) {
            continue;
        }
        const reply = decision.reply !== "wait" ? decision.reply : {
            type: "refused" as const,
            reasonCode: ledgerReason.shareUnavailable,
            retryAfterMs: LEDGER_TIMING.retryAfterMs,
        };
        next = { ...decision.state, waitingClaims: HashMap.remove(decision.state.waitingClaims, rpcId) };
        effects.push({ type: "answer-claim", rpcId, reply });
    }
    return { state: next, effects };
};
