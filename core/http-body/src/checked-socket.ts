import { Socket } from "node:net";

const EMPTY = Buffer.alloc(0);
// What a write reports after the peer ended its side of the connection in order and reset it then.
const RESET_AFTER_END = "EPIPE";

/**
 * Socket that can tell an end of the connection from a reset. If the last bytes and a reset are both there when Node.js
 * reads, it reports an end without an error: libuv takes a hang-up behind a partly filled buffer for one. The error stays
 * pending in the kernel, and the next write gets it.
 */
export class CheckedSocket extends Socket {
    private isCheckingEnd = false;

    /**
     * Finds out whether an end was a reset, and closes the socket. To be called during its `end` event, while the socket
     * is writable. The argument of its `close` event is true if it was one.
     */
    checkEnd(): void {
        this.isCheckingEnd = true;
        // Sends nothing. It waits behind any pending write, which libuv finishes or fails before the check phase.
        this.write(EMPTY);
        setImmediate(() => {
            this.isCheckingEnd = false;
            this.destroy();
        });
    }

    /** During a check, only an error closes the socket. Node.js closes it at once when it ends, and drops pending writes. */
    override destroy(error?: Error): this {
        if (!this.isCheckingEnd) {
            return super.destroy(error);
        }
        if (error === undefined) {
            return this;
        }
        return super.destroy((error as NodeJS.ErrnoException).code === RESET_AFTER_END ? undefined : error);
    }
}
