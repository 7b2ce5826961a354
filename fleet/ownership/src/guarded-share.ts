/** What this daemon knows about a share that it guards besides the log. It lasts as long as the term. */
export interface GuardedShare {
    readonly term: number;
    /** Highest bound that this daemon promised, whether or not the owner learnt of it. */
    readonly promisedBoundMs: number;
    /** A take-over was attempted. Its record may be in the log already, so this daemon never promises again. */
    readonly isFenced: boolean;
    /** Last request for a promise, or extension read in the log. */
    readonly ownerSeenAtMs: number;
}
