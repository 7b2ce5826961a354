import * as HashMap from "effect/HashMap";
import type { LedgerCounts } from "./ledger-counts.js";
import type { LedgerState } from "./ledger-state.js";

export const selectLedgerCounts = (state: LedgerState): LedgerCounts => {
    const { counts } = state.table;
    let requestsGranted = 0;
    for (const request of HashMap.values(state.requests)) {
        requestsGranted += request.phase === "granted" ? 1 : 0;
    }
    return {
        ...counts,
        keys: counts.granted + counts.completed + counts.unknown + counts.released,
        claimsWaiting: HashMap.size(state.waitingClaims),
        requestsClaiming: HashMap.size(state.requests) - requestsGranted,
        requestsGranted,
        settlementsPending: HashMap.size(state.settlements),
    };
};
