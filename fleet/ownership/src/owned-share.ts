/** Local state of a share that this daemon owns, beyond what the log states. It is discarded with the term. */
export interface OwnedShare {
    readonly term: number;
    /** Highest bound that the guardian promised. */
    readonly promisedBoundMs: number;
    /**
     * Key time at which this daemon tried to end the term, Infinity before that. The record may already be in the log,
     * so promises above this time are never used, whatever the result of the append.
     */
    readonly relinquishedAtMs: number;
    readonly lastPromiseAtMs: number;
    /** Time since which rendezvous hashing has selected another daemon; undefined while it selects this one. */
    readonly otherWinnerSinceMs: number | undefined;
}
