/** Local state of a share that this daemon guards, beyond what the log states. It is discarded with the term. */
export interface GuardedShare {
    readonly term: number;
    /** Highest bound that this daemon promised, whether or not the answer reached the owner. */
    readonly promisedBoundMs: number;
    /** A takeover was attempted. Its record may already be in the log, so this daemon makes no further promises. */
    readonly isFenced: boolean;
    /** Time of the owner's last promise request, or of its last extension read from the log. */
    readonly ownerSeenAtMs: number;
}
