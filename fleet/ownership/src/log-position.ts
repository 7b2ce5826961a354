/** How far this daemon has read the `ownership` stream. */
export interface LogPosition {
    readonly nextOffset: number;
    /**
     * `following`: all records below `nextOffset` are folded. `seeking`: records that this daemon needs were
     * truncated, and it looks for a snapshot that covers them.
     */
    readonly mode: "following" | "seeking";
    readonly firstOffset: number;
    readonly available: boolean;
    readonly caughtUp: boolean;
    readonly lastReadAtMs: number | undefined;
    /** The stream was truncated and empty at the last read; this is the offset of its next record. */
    readonly emptyAtOffset: number | undefined;
    /** Since when the position has been usable, for delays after it. */
    readonly caughtUpSinceMs: number | undefined;
    readonly snapshotSeenAtMs: number;
}
