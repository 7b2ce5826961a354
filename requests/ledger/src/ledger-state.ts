import type { DaemonId } from "@marigoldstall/core.types";
import type { ShareTerm } from "@marigoldstall/fleet.ownership";
import type * as HashMap from "effect/HashMap";
import type { KeyTable } from "./key-table.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { PendingSettlement } from "./pending-settlement.js";
import type { WaitingClaim } from "./waiting-claim.js";

/** State of the ledger slice. Code outside this package reads it only through selectors. */
export interface LedgerState {
    readonly self: DaemonId;
    readonly shareOf: (service: string, key: string) => number;
    readonly keyCountLimit: number;
    readonly storedBytesLimit: number;
    readonly waitingLimit: number;
    readonly terms: readonly ShareTerm[];
    readonly termsByShare: ReadonlyMap<number, readonly ShareTerm[]>;
    readonly ownBoundsMs: ReadonlyMap<number, number>;
    /** Owner: the keys, and the claims that wait for a bound by RPC id. */
    readonly table: KeyTable;
    readonly waitingClaims: HashMap.HashMap<string, WaitingClaim>;
    /** Entry daemon: requests and unconfirmed settlements by request id. */
    readonly requests: HashMap.HashMap<string, KeyedRequest>;
    readonly settlements: HashMap.HashMap<string, PendingSettlement>;
    readonly settlementBytes: number;
}
