import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import { isSameDaemon } from "./is-same-daemon.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import { LEDGER_TIMING } from "./ledger-timing.js";

/** Handles the reply to a settlement. The settlement ends when all owners that may hold the grant have received it. */
export const receiveSettleReply = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "settle-answered"; }>,
): LedgerState => {
    const { requestId } = event;
    const pending = Option.getOrUndefined(HashMap.get(state.settlements, requestId));
    if (pending === undefined) {
        return state;
    }
    if (!event.received) {
        const nextSendAtMs = Math.min(pending.nextSendAtMs, event.atMs + LEDGER_TIMING.settleRetryMs);
        return { ...state, settlements: HashMap.set(state.settlements, requestId, { ...pending, nextSendAtMs }) };
    }
    const owners = pending.owners.filter(owner => !isSameDaemon(owner, event.owner));
    return owners.length > 0
        ? { ...state, settlements: HashMap.set(state.settlements, requestId, { ...pending, owners }) }
        : {
            ...state,
            settlements: HashMap.remove(state.settlements, requestId),
            settlementBytes: state.settlementBytes - pending.storedBytes,
        };
};
