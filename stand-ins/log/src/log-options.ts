/** Options of {@link LogStandIn}. */
export interface LogOptions {
    /** Port on 127.0.0.1; 0 selects a free port. */
    readonly port?: number | undefined;
    /** Maximum number of appends per second over all streams; further appends get a 429. */
    readonly appendsPerSecond?: number | undefined;
    readonly retentionMs?: number | undefined;
}
