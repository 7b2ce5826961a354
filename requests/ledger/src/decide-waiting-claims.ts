import * as HashMap from "effect/HashMap";
import { decideClaim } from "./decide-claim.js";
import type { LedgerEffect } from "./ledger-effect.js";
import { ledgerReason } from "./ledger-reason.js";
import type { LedgerState } from "./ledger-state.js";
import { ledgerTiming } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";

/** Decides the claims whose bound has been raised, or whose waiting time is over. */
export const decideWaitingClaims = (
    state: LedgerState,
    moment: { readonly atMs: number; readonly wallMs: number; },
): LedgerTransition => {
    let next = state;
    const effects: LedgerEffect[] = [];
    for (const [rpcId, { request, untilMs }] of HashMap.entries(state.waiting)) {
        const decision = decideClaim(next, { ...moment, request });
        if (decision.reply === "wait" && moment.atMs < untilMs) {
            continue;
        }
        const reply = decision.reply !== "wait" ? decision.reply : {
            type: "refused" as const,
            reasonCode: ledgerReason.shareUnavailable,
            retryAfterMs: ledgerTiming.retryAfterMs,
        };
        next = { ...decision.state, waiting: HashMap.remove(decision.state.waiting, rpcId) };
        effects.push({ type: "answer-claim", rpcId, reply });
    }
    return { state: next, effects };
};
