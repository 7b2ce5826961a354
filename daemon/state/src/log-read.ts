/** One read of a stream of the log. */
export interface LogRead {
    /** Offset that the read asked for. */
    readonly from: number;
    /** When the read was sent, on the monotonic clock. */
    readonly startedAtMs: number;
    readonly firstOffset: number;
    readonly nextOffset: number;
    readonly records: readonly { readonly offset: number; readonly value: unknown; }[];
}
