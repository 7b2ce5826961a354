import { write } from "node:fs";
import { ENTRY_LIMITS } from "./entry-limits.js";

// Lines that wait for a slow reader of standard output. Beyond that they are counted and dropped.
const MAX_WAITING_BYTES = 256 * 1_024;
// Lines of one second; a VM has a few requests a second with some lines each, and bursts of ten times as much.
const MAX_LINES_PER_SECOND = 2_000;
const MS_PER_SECOND = 1_000;
const STANDARD_OUTPUT = 1;

/** Structured log on standard output: one JSON object a line, written behind the work and bounded in volume. */
export class LineLog {
    private readonly vmId: string;
    private waiting: string[] = [];
    private waitingBytes = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;
    private second = 0;
    private linesInSecond = 0;
    private droppedLines = 0;

    constructor(opts: { readonly vmId: string; }) {
        this.vmId = opts.vmId;
    }

    write(kind: string, fields: Readonly<Record<string, unknown>>): void {
        const unixMs = Date.now();
        const second = Math.floor(unixMs / MS_PER_SECOND);
        if (second !== this.second) {
            this.second = second;
            this.linesInSecond = 0;
        }
        this.linesInSecond += 1;
        if (this.linesInSecond > MAX_LINES_PER_SECOND || this.waitingBytes > MAX_WAITING_BYTES) {
            this.droppedLines += 1;
            return;
        }
        const line = `${JSON.stringify({ time: new Date(unixMs).toISOString(), vm: this.vmId, kind, ...fields })}\n`;
        this.waiting.push(line);
        this.waitingBytes += line.length;
        this.timer ??= setTimeout(() => {
            this.flush();
        }, ENTRY_LIMITS.logFlushMs);
    }

    /** Hands the waiting lines to the operating system; calls back when that is done or was not possible. */
    flush(done: () => void = () => undefined): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.isWriting || this.waiting.length === 0) {
            done();
            return;
        }
        if (this.droppedLines > 0) {
            const droppedLines = this.droppedLines;
            this.droppedLines = 0;
            this.write("log-lines-dropped", { droppedLines });
        }
        const text = this.waiting.join("");
        this.waiting = [];
        this.waitingBytes = 0;
        this.isWriting = true;
        this.writeWhole(Buffer.from(text), () => {
            this.isWriting = false;
            if (this.waiting.length > 0) {
                this.flush(done);
            }
            else {
                done();
            }
        });
    }

    private writeWhole(bytes: Buffer, done: () => void): void {
        write(STANDARD_OUTPUT, bytes, (error, written) => {
            const failure = error ?? undefined;
            if (failure !== undefined && failure.code !== "EAGAIN") {
                // Nobody reads the log; there is no other place to say so.
                this.droppedLines += 1;
                done();
                return;
            }
            const rest = bytes.subarray(failure === undefined ? written : 0);
            if (rest.length === 0) {
                done();
                return;
            }
            setTimeout(() => {
                this.writeWhole(rest, done);
            }, ENTRY_LIMITS.logFlushMs);
        });
    }
}
