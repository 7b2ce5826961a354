/** Options of the log stand-in. */
export interface LogOptions {
    /** Port on 127.0.0.1; 0 picks a free one. */
    readonly port?: number | undefined;
    /** Appends a second for the whole service; above it the answer is 429. */
    readonly appendsPerSecond?: number | undefined;
    readonly retentionMs?: number | undefined;
}
