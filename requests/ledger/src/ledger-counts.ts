/** Counts of the ledger slice, for metrics, `status.get` and the graceful shutdown. */
export interface LedgerCounts {
    /** Owner: all keys in the table. */
    readonly keys: number;
    /** Owner: keys granted and not settled yet. */
    readonly granted: number;
    readonly completed: number;
    readonly unknown: number;
    readonly released: number;
    readonly storedBytes: number;
    /** Owner: claims that wait for a bound. */
    readonly claimsWaiting: number;
    /** Entry daemon: requests that wait for a grant. */
    readonly requestsClaiming: number;
    /** Entry daemon: requests that were granted and have not finished. */
    readonly requestsGranted: number;
    /** Entry daemon: settlements that no owner has received yet. */
    readonly settlementsPending: number;
}
