/** Read position of this daemon in the `ownership` stream. */
export interface LogPosition {
    /** Highest era of the log that a read reported. It rises with each restore of the log from an older copy. */
    readonly era: number;
    readonly nextOffset: number;
    /**
     * `following`: all records below `nextOffset` are folded. `seeking`: required records were truncated, and this
     * daemon looks for a snapshot that covers them, or the log was restored and it looks for the record that restarts
     * the terms in this era. Until then it keeps the rights that it has, as in an outage of the log.
     */
    readonly mode: "following" | "seeking";
    readonly firstOffset: number;
    readonly available: boolean;
    readonly caughtUp: boolean;
    readonly lastReadAtMs: number | undefined;
    /** Offset of the stream's next record if the terms can be restarted there, as of the last read. */
    readonly restartableAtOffset: number | undefined;
    /**
     * Wall clock time from which the terms may be restarted after a restore. By then all caps of the lost records have
     * passed. Undefined unless this daemon looks for a restart in a new era.
     */
    readonly restartNotBeforeMs: number | undefined;
    /** Time since which this daemon has been caught up without interruption, from which delays are counted. */
    readonly caughtUpSinceMs: number | undefined;
    readonly snapshotSeenAtMs: number;
}
