import { ENTRY_TIMINGS } from "./entry-timings.js";
import { FileOutput } from "./file-output.js";
import type { LogOutput } from "./log-output.js";

// Limit of the lines buffered for a slow reader of stdout. Further lines are dropped and counted.
const MAX_PENDING_BYTES = 256 * 1_024;
// A VM has a few requests a second with a few lines each, and bursts of ten times that rate.
const MAX_LINES_PER_SECOND = 2_000;
const MS_PER_SECOND = 1_000;
const STDOUT_FD = 1;

/** Structured logger that writes JSON lines to stdout asynchronously, with a bounded buffer and rate. */
export class JsonLogger {
    private readonly vmId: string | undefined;
    private readonly output: LogOutput;
    private pendingLines: string[] = [];
    private pendingBytes = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;
    private currentSecond = 0;
    private linesInSecond = 0;
    private droppedLines = 0;

    constructor(opts: {
        /** Absent until the settings have been read. */
        readonly vmId: string | undefined;
        /** Default: standard output as a file. */
        readonly output?: LogOutput | undefined;
    }) {
        this.vmId = opts.vmId;
        this.output = opts.output ?? new FileOutput({ fd: STDOUT_FD });
    }

    write(kind: string, fields: Readonly<Record<string, unknown>>): void {
        const unixMs = Date.now();
        const second = Math.floor(unixMs / MS_PER_SECOND);
        if (second !== this.currentSecond) {
            this.currentSecond = second;
            this.linesInSecond = 0;
        }
        this.linesInSecond += 1;
        if (this.linesInSecond > MAX_LINES_PER_SECOND || this.pendingBytes > MAX_PENDING_BYTES) {
            this.droppedLines += 1;
            return;
        }
        const line = `${JSON.stringify({ time: new Date(unixMs).toISOString(), vm: this.vmId, kind, ...fields })}\n`;
        this.pendingLines.push(line);
        this.pendingBytes += line.length;
        this.timer ??= setTimeout(() => {
            this.flush();
        }, ENTRY_TIMINGS.logFlushDelayMs);
    }

    /** Writes the buffered lines to stdout. Calls back when they have been written or the write has failed. */
    flush(done: () => void = () => undefined): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.isWriting || this.pendingLines.length === 0) {
            done();
            return;
        }
        if (this.droppedLines > 0) {
            const droppedLines = this.droppedLines;
            this.droppedLines = 0;
            this.write("log-lines-dropped", { droppedLines });
        }
        const text = this.pendingLines.join("");
        this.pendingLines = [];
        this.pendingBytes = 0;
        this.isWriting = true;
        this.output.write(Buffer.from(text), isWritten => {
            this.isWriting = false;
            if (!isWritten) {
                // The reader of stdout is gone and there is no other place to report that.
                this.droppedLines += 1;
            }
            if (this.pendingLines.length > 0) {
                this.flush(done);
            }
            else {
                done();
            }
        });
    }
}
