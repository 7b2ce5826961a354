/** One record of a stream. */
export interface LogRecord {
    readonly offset: number;
    readonly value: unknown;
}
