import * as HashMap from "effect/HashMap";
import type { CallerAnswer } from "./caller-answer.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { LedgerEffect } from "./ledger-effect.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { startSettlement } from "./start-settlement.js";

/**
 * Ends a request that was not granted. The request is never sent after this, even if a grant arrives later. Unless
 * its only claim has a final reply (`isDecided`), a copy of a claim may still be granted, so the claim is released.
 */
export const endUngrantedRequest = (
    state: LedgerState,
    opts: {
        readonly request: KeyedRequest;
        readonly answer: CallerAnswer | undefined;
        readonly isDecided: boolean;
        readonly atMs: number;
    },
): LedgerTransition => {
    const { request, answer, atMs } = opts;
    const { service, key, requestId } = request;
    const ended = { ...state, requests: HashMap.remove(state.requests, requestId) };
    const settlement = startSettlement(ended, {
        request: { service, key, requestId, runner: state.self, outcome: "not-run", response: undefined },
        owners: opts.isDecided && request.claimsSent <= 1 ? [] : request.contactedOwners,
        atMs,
    });
    const effects: LedgerEffect[] = answer === undefined ? [] : [
        { type: "answer-caller", requestId, ...answer },
        {
            type: "log-decision",
            decision: {
                kind: "key-claim",
                requestId,
                service,
                className: undefined,
                candidates: request.contactedOwners.map(daemon => daemon.vmId),
                choice: undefined,
                reason: answer.reasonCode ?? answer.outcome,
            },
        },
    ];
    return { state: settlement.state, effects: [...effects, ...settlement.effects] };
};
