import { write } from "node:fs";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import { LogOutput } from "./log-output.js";

/** Writes the log to a descriptor of a file, a terminal or another device. */
export class FileOutput extends LogOutput {
    private readonly fd: number;

    constructor(opts: { readonly fd: number; }) {
        super();
        this.fd = opts.fd;
    }

    override write(bytes: Buffer, done: (isWritten: boolean) => void): void {
        write(this.fd, bytes, (error, written) => {
            const failure = error ?? undefined;
            if (failure !== undefined && failure.code !== "EAGAIN") {
                done(false);
                return;
            }
            const remaining = bytes.subarray(failure === undefined ? written : 0);
            if (remaining.length === 0) {
                done(true);
                return;
            }
            setTimeout(() => {
                this.write(remaining, done);
            }, ENTRY_TIMINGS.logFlushDelayMs);
        });
    }
}
