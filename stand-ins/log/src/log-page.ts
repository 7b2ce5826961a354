import type { LogRecord } from "./log-record.js";

/** Response to a read: consecutive records, and the offset range of the stream at the time of the read. */
export interface LogPage {
    /** Number of restores from an older copy. Omitted before the first one, as older services do. */
    readonly era?: number;
    /** Offset of the oldest retained record, or `nextOffset` when none is retained. */
    readonly firstOffset: number;
    /** Offset of the next append, which is beyond the end of the page when `limit` truncates it. */
    readonly nextOffset: number;
    readonly records: readonly LogRecord[];
}
