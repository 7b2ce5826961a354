import { advanceRequests } from "./advance-requests.js";
import { answerClaim } from "./answer-claim.js";
import { answerSettle } from "./answer-settle.js";
import { arriveRequest } from "./arrive-request.js";
import { changeTerms } from "./change-terms.js";
import { decideWaitingClaims } from "./decide-waiting-claims.js";
import { finishRequest } from "./finish-request.js";
import type { LedgerEffect } from "./ledger-effect.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { receiveClaim } from "./receive-claim.js";
import { receiveSettle } from "./receive-settle.js";
import { repeatSettlements } from "./repeat-settlements.js";
import { sameRun } from "./same-run.js";

/** RPC ids of claims and settlements between the two roles of this same daemon. */
const LOCAL_PREFIX = "local/";

const reduceEvent = (state: LedgerState, event: LedgerEvent): LedgerTransition => {
    switch (event.type) {
        case "terms-changed":
            return changeTerms(state, event);
        case "keyed-request-arrived":
            return arriveRequest(state, event);
        case "claim-answered":
            return answerClaim(state, event);
        case "request-finished":
            return finishRequest(state, event);
        case "settle-answered":
            return { state: answerSettle(state, event), effects: [] };
        case "claim-received":
            return receiveClaim(state, event);
        case "settle-received":
            return receiveSettle(state, event);
        case "tick": {
            const decided = decideWaitingClaims(state, event);
            const advanced = advanceRequests(decided.state, event.atMs);
            const repeated = repeatSettlements(advanced.state, event.atMs);
            return {
                state: repeated.state,
                effects: [...decided.effects, ...advanced.effects, ...repeated.effects],
            };
        }
    }
};

/** The event that an effect is for this daemon's other role, when it needs no network. */
const localEvent = (
    state: LedgerState,
    effect: LedgerEffect,
    moment: { readonly atMs: number; readonly wallMs: number; },
): LedgerEvent | undefined => {
    const owner = state.self;
    switch (effect.type) {
        case "send-claim":
        case "send-settle": {
            const { requestId } = effect.request;
            if (!sameRun(effect.owner, owner)) {
                return undefined;
            }
            const rpcId = LOCAL_PREFIX + requestId;
            return effect.type === "send-claim"
                ? { type: "claim-received", ...moment, rpcId, request: effect.request }
                : { type: "settle-received", ...moment, rpcId, request: effect.request };
        }
        case "answer-claim":
        case "answer-settle": {
            if (!effect.rpcId.startsWith(LOCAL_PREFIX)) {
                return undefined;
            }
            const requestId = effect.rpcId.slice(LOCAL_PREFIX.length);
            return effect.type === "answer-claim"
                ? { type: "claim-answered", ...moment, requestId, owner, reply: effect.reply }
                : { type: "settle-answered", atMs: moment.atMs, requestId, owner, received: true };
        }
        default:
            return undefined;
    }
};

/** Reducer of the ledger slice. Claims and settlements of a daemon with itself never leave it. */
export const reduceLedger = (state: LedgerState, event: LedgerEvent): LedgerTransition => {
    const moment = { atMs: event.atMs, wallMs: "wallMs" in event ? event.wallMs : 0 };
    const first = reduceEvent(state, event);
    let next = first.state;
    const queue = [...first.effects];
    const effects: LedgerEffect[] = [];
    for (let effect = queue.shift(); effect !== undefined; effect = queue.shift()) {
        const local = localEvent(next, effect, moment);
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
