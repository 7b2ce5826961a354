/** What `status.get` and `/metrics` report about the ownership of shares. */
export interface OwnershipHealth {
    /** False until the stream was folded from its start, from a snapshot or from a restart record. */
    readonly synchronized: boolean;
    readonly caughtUp: boolean;
    readonly logAvailable: boolean;
    readonly lastReadAgeMs: number | undefined;
    readonly sharesOwned: number;
    readonly sharesGuarded: number;
    readonly sharesWithoutTerm: number;
    /** End of the key times that this daemon governs. A stopping daemon should stay until they are over. */
    readonly ownKeyTimesEndMs: number | undefined;
    /** Shares of this daemon for which a hand-over was written but not yet read back. */
    readonly handOversPending: number;
    /** Records that are not of a known format. */
    readonly malformedRecords: number;
    /** Entries that were not valid at their place in the log, such as the losers of a race. */
    readonly invalidEntries: number;
}
