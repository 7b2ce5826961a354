import type { DaemonId } from "@marigoldstall/core.types";

/** Options of `createLedgerState`. */
export interface LedgerStateOptions {
    readonly self: DaemonId;
    /** Share of a key; from `createShareHasher` of fleet.ownership. */
    readonly shareOf: (service: string, key: string) => number;
    /** Largest number of keys in the owner's table; new keys are refused above it. Default: 150,000. */
    readonly keyCountLimit?: number | undefined;
    /** Largest total size of stored responses; new keys are refused above it. Default: 48 MiB. */
    readonly storedBytesLimit?: number | undefined;
    /** Largest number of claims that wait for a bound, and of requests that wait for an owner. Default: 10,000. */
    readonly waitingLimit?: number | undefined;
}
