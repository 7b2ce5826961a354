import type { EntryMetrics } from "./entry-metrics.js";
import type { JsonLogger } from "./json-logger.js";

// Anybody who reaches a port can cause refusals, and their lines must leave room for all others.
const MAX_LINES_PER_WINDOW = 5;
const WINDOW_MS = 1_000;

interface RefusedInputsOptions {
    readonly metrics: Pick<EntryMetrics, "refusedInputs">;
    readonly log: Pick<JsonLogger, "write">;
    readonly nowMs: () => number;
}

interface Window {
    readonly startedAtMs: number;
    readonly lines: number;
    readonly unloggedCount: number;
}

/** Counts inputs from outside the process that were refused, by kind, and logs them at a bounded rate for each kind. */
export class RefusedInputs {
    private readonly opts: RefusedInputsOptions;
    private readonly windows = new Map<string, Window>();

    constructor(opts: RefusedInputsOptions) {
        this.opts = opts;
    }

    /** The kind is one of a fixed list, never taken from the input. */
    record(kind: string, fields: Readonly<Record<string, unknown>>): void {
        const { metrics, log, nowMs } = this.opts;
        metrics.refusedInputs.inc({ kind });
        const atMs = nowMs();
        const last = this.windows.get(kind);
        const window = last !== undefined && atMs - last.startedAtMs < WINDOW_MS
            ? last
            : { startedAtMs: atMs, lines: 0, unloggedCount: last?.unloggedCount ?? 0 };
        if (window.lines >= MAX_LINES_PER_WINDOW) {
            this.windows.set(kind, { ...window, unloggedCount: window.unloggedCount + 1 });
            return;
        }
        const { unloggedCount } = window;
        log.write(kind, { ...fields, ...unloggedCount === 0 ? {} : { unloggedCount } });
        this.windows.set(kind, { ...window, lines: window.lines + 1, unloggedCount: 0 });
    }
}
