import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import { ledgerTiming } from "./ledger-timing.js";
import { sameRun } from "./same-run.js";

/** Ends a settlement when all owners that may hold the grant have received it. */
export const answerSettle = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "settle-answered"; }>,
): LedgerState => {
    const { requestId } = event;
    const pending = Option.getOrUndefined(HashMap.get(state.settlements, requestId));
    if (pending === undefined) {
        return state;
    }
    if (!event.received) {
        const nextSendAtMs = Math.min(pending.nextSendAtMs, event.atMs + ledgerTiming.settleRetryMs);
        return { ...state, settlements: HashMap.set(state.settlements, requestId, { ...pending, nextSendAtMs }) };
    }
    const owners = pending.owners.filter(owner => !sameRun(owner, event.owner));
    return owners.length > 0
        ? { ...state, settlements: HashMap.set(state.settlements, requestId, { ...pending, owners }) }
        : {
            ...state,
            settlements: HashMap.remove(state.settlements, requestId),
            settlementBytes: state.settlementBytes - pending.storedBytes,
        };
};
