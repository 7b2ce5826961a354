import type { DaemonId } from "@marigoldstall/core.types";

/** Options of `createLedgerState`. */
export interface LedgerStateOptions {
    readonly self: DaemonId;
    /** Maps a key to its share; created by `createShareHasher` of fleet.ownership. */
    readonly shareOf: (service: string, key: string) => number;
    /** Maximum number of keys in the owner's table; further keys are refused. Default: 150,000. */
    readonly keyCountLimit?: number | undefined;
    /** Maximum total size of stored responses; when it is reached, further keys are refused. Default: 48 MiB. */
    readonly storedBytesLimit?: number | undefined;
    /** Maximum number of claims that wait for a bound, and also of requests in the ledger. Default: 10,000. */
    readonly waitingLimit?: number | undefined;
}
