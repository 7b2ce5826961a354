/** What `status.get` and `/metrics` report about the ownership of shares. */
export interface OwnershipHealth {
    /** False until the stream has been folded from its start, from a snapshot or from a restart record. */
    readonly synchronized: boolean;
    readonly caughtUp: boolean;
    readonly logAvailable: boolean;
    readonly lastReadAgeMs: number | undefined;
    readonly sharesOwned: number;
    readonly sharesGuarded: number;
    readonly sharesWithoutTerm: number;
    /** End of the key times that this daemon governs. A stopping daemon should keep running until they have passed. */
    readonly ownKeyTimesEndMs: number | undefined;
    /** Owned shares with an undecided `assign` record, such as a handover that has not been read back yet. */
    readonly handoversPending: number;
    /** Records of unknown format. */
    readonly malformedRecords: number;
    /** Entries that were invalid at their offset, such as the losers of a race. */
    readonly invalidEntries: number;
}
