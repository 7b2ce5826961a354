/** Counts of the ledger slice, for metrics, `status.get` and the graceful shutdown. */
export interface LedgerCounts {
    /** Owner: all keys in the table. */
    readonly keys: number;
    /** Owner: granted keys that are not settled. */
    readonly granted: number;
    readonly completed: number;
    readonly unknown: number;
    readonly released: number;
    readonly storedBytes: number;
    /** Owner: claims that wait for a bound to be raised. */
    readonly claimsWaiting: number;
    /** Entry daemon: requests that wait for a grant. */
    readonly requestsClaiming: number;
    /** Entry daemon: granted requests that have not finished. */
    readonly requestsGranted: number;
    /** Entry daemon: settlements that some owner has not received yet. */
    readonly settlementsPending: number;
}
