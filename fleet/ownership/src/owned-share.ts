/** What this daemon knows about a share of its own besides the log. It lasts as long as the term. */
export interface OwnedShare {
    readonly term: number;
    /** Highest bound that the guardian promised. */
    readonly promisedBoundMs: number;
    /**
     * This daemon has tried to end the term at this key time. The record may be in the log already, so promises
     * above it are never used, whatever becomes of the attempt.
     */
    readonly relinquishedAtMs: number;
    readonly lastPromiseAtMs: number;
    /** Since when rendezvous hashing has named another daemon. */
    readonly otherWinnerSinceMs: number | undefined;
}
