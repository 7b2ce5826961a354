import { advanceRequests } from "./advance-requests.js";
import { applyTerms } from "./apply-terms.js";
import { decideWaitingClaims } from "./decide-waiting-claims.js";
import { finishRequest } from "./finish-request.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { LedgerEffect } from "./ledger-effect.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { receiveClaimReply } from "./receive-claim-reply.js";
import { receiveClaim } from "./receive-claim.js";
import { receiveRequest } from "./receive-request.js";
import { receiveSettleReply } from "./receive-settle-reply.js";
import { receiveSettle } from "./receive-settle.js";
import { resendSettlements } from "./resend-settlements.js";

/** Prefix of the RPC ids of claims and settlements that this daemon sends to itself. */
const LOCAL_RPC_PREFIX = "local/";

const reduceEvent = (state: LedgerState, event: LedgerEvent): LedgerTransition => {
    switch (event.type) {
        case "terms-changed":
            return applyTerms(state, event);
        case "keyed-request-arrived":
            return receiveRequest(state, event);
        case "claim-answered":
            return receiveClaimReply(state, event);
        case "request-finished":
            return finishRequest(state, event);
        case "settle-answered":
            return { state: receiveSettleReply(state, event), effects: [] };
        case "claim-received":
            return receiveClaim(state, event);
        case "settle-received":
            return receiveSettle(state, event);
        case "tick": {
            const decided = decideWaitingClaims(state, event);
            const advanced = advanceRequests(decided.state, event.atMs);
            const resent = resendSettlements(advanced.state, event.atMs);
            return {
                state: resent.state,
                effects: [...decided.effects, ...advanced.effects, ...resent.effects],
            };
        }
    }
};

/** Converts an effect that is addressed to this daemon itself into the event that it causes. */
const toLocalEvent = (
    state: LedgerState,
    effect: LedgerEffect,
    now: { readonly atMs: number; readonly wallMs: number; },
): LedgerEvent | undefined => {
    const owner = state.self;
    switch (effect.type) {
        case "send-claim":
        case "send-settle": {
            const { requestId } = effect.request;
            if (!isSameDaemon(effect.owner, owner)) {
                return undefined;
            }
            const rpcId = LOCAL_RPC_PREFIX + requestId;
            return effect.type === "send-claim"
                ? { type: "claim-received", ...now, rpcId, request: effect.request }
                : { type: "settle-received", ...now, rpcId, request: effect.request };
        }
        case "answer-claim":
        case "answer-settle": {
            if (!effect.rpcId.startsWith(LOCAL_RPC_PREFIX)) {
                return undefined;
            }
            const requestId = effect.rpcId.slice(LOCAL_RPC_PREFIX.length);
            return effect.type === "answer-claim"
                ? { type: "claim-answered", ...now, requestId, owner, reply: effect.reply }
                : { type: "settle-answered", atMs: now.atMs, requestId, owner, received: true };
        }
        default:
            return undefined;
    }
};

/** Reducer of the ledger slice. Claims and settlements that a daemon sends to itself are applied without an RPC. */
export const reduceLedger = (state: LedgerState, event: LedgerEvent): LedgerTransition => {
    const now = { atMs: event.atMs, wallMs: "wallMs" in event ? event.wallMs : 0 };
    const first = reduceEvent(state, event);
    let next = first.state;
    const queue = [...first.effects];
    const effects: LedgerEffect[] = [];
    for (let effect = queue.shift(); effect !== undefined; effect = queue.shift()) {
        const local = toLocalEvent(next, effect, now);
        if (local === undefined) {
            effects.push(effect);
            continue;
        }
        const transition = reduceEvent(next, local);
        next = transition.state;
        queue.unshift(...transition.effects);
    }
    return { state: next, effects };
};
