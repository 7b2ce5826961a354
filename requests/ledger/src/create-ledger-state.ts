import type { LedgerStateOptions } from "./ledger-state-options.js";
import type { LedgerState } from "./ledger-state.js";

/** State of a daemon that knows no term and no key. */
export const createLedgerState = (opts: LedgerStateOptions): LedgerState => ({ opts });
