import * as HashMap from "effect/HashMap";
import { emptyKeyTable } from "./empty-key-table.js";
import type { LedgerStateOptions } from "./ledger-state-options.js";
import type { LedgerState } from "./ledger-state.js";

/** Creates the state of a daemon that knows no terms and no keys. */
export const createLedgerState = (opts: LedgerStateOptions): LedgerState => ({
    self: opts.self,
    shareOf: opts.shareOf,
    keyCountLimit: opts.keyCountLimit ?? 150_000,
    storedBytesLimit: opts.storedBytesLimit ?? 48 * 1024 * 1024,
    waitingLimit: opts.waitingLimit ?? 10_000,
    terms: [],
    termsByShare: new Map(),
    ownBoundsMs: new Map(),
    table: emptyKeyTable,
    waitingClaims: HashMap.empty(),
    requests: HashMap.empty(),
    settlements: HashMap.empty(),
    settlementBytes: 0,
});
