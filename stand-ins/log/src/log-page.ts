import type { LogRecord } from "./log-record.js";

/** Answer to a read: a run of records, and the ends of the stream at the time of the read. */
export interface LogPage {
    /** Offset of the oldest record that the stream still holds, or `nextOffset` when it holds none. */
    readonly firstOffset: number;
    /** Offset that the next append to the stream gets. With a full page it lies beyond the last record returned. */
    readonly nextOffset: number;
    readonly records: readonly LogRecord[];
}
