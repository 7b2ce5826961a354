import { Socket } from "node:net";
import { LogOutput } from "./log-output.js";

/**
 * Writes the log to a descriptor of a pipe or socket. While nobody reads it, the writes wait in the event loop. With
 * `node:fs` they would wait in threads, and a process does not end while one of its threads waits.
 */
export class StreamOutput extends LogOutput {
    private readonly socket: Socket;

    constructor(opts: { readonly fd: number; }) {
        super();
        this.socket = new Socket({ fd: opts.fd, readable: false });
        // Each write learns of the error in its callback.
        this.socket.on("error", () => undefined);
        this.socket.unref();
    }

    override write(bytes: Buffer, done: (isWritten: boolean) => void): void {
        this.socket.write(bytes, error => {
            done(!(error instanceof Error));
        });
    }
}
