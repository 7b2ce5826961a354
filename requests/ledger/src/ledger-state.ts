import type { LedgerStateOptions } from "./ledger-state-options.js";

/** State of the ledger slice. Read it through the selectors only. */
export interface LedgerState {
    readonly opts: LedgerStateOptions;
}
