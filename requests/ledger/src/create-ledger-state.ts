import * as HashMap from "effect/HashMap";
import { emptyKeyTable } from "./empty-key-table.js";
import type { LedgerStateOptions } from "./ledger-state-options.js";
import type { LedgerState } from "./ledger-state.js";

/** State of a daemon that knows no term and no key. */
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
    waiting: HashMap.empty(),
    requests: HashMap.empty(),
    settlements: HashMap.empty(),
    settlementBytes: 0,
});
