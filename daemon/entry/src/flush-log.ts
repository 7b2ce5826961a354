import { setTimeout as sleep } from "node:timers/promises";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import type { JsonLogger } from "./json-logger.js";

/** Writes what waits in the log, unless its reader has stopped reading. */
export const flushLog = (log: JsonLogger): Promise<void> =>
    Promise.race([
        new Promise<void>(resolve => {
            log.flush(resolve);
        }),
        sleep(ENTRY_TIMINGS.lastFlushTimeoutMs),
    ]);
