/** Result of one read of a log stream. */
export interface LogRead {
    /** Requested offset. */
    readonly from: number;
    /** Monotonic time at which the read was sent. */
    readonly startedAtMs: number;
    /** Era of the log, which rises when it is restored from an older copy. 0 if omitted. */
    readonly era?: number;
    readonly firstOffset: number;
    readonly nextOffset: number;
    readonly records: readonly { readonly offset: number; readonly value: unknown; }[];
}
