/** Read position of this daemon in the `ownership` stream. */
export interface LogPosition {
    readonly nextOffset: number;
    /**
     * `following`: all records below `nextOffset` are folded. `seeking`: required records were truncated, and this
     * daemon looks for a snapshot that covers them.
     */
    readonly mode: "following" | "seeking";
    readonly firstOffset: number;
    readonly available: boolean;
    readonly caughtUp: boolean;
    readonly lastReadAtMs: number | undefined;
    /** Offset of the stream's next record if the stream was truncated and empty at the last read. */
    readonly emptyAtOffset: number | undefined;
    /** Time since which this daemon has been caught up without interruption, from which delays are counted. */
    readonly caughtUpSinceMs: number | undefined;
    readonly snapshotSeenAtMs: number;
}
