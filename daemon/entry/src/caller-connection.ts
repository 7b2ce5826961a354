import type { Socket } from "node:net";
import { ENTRY_TIMINGS } from "./entry-timings.js";

interface CallerConnectionOptions {
    readonly socket: Socket;
    readonly nowMs: () => number;
}

/** A caller's connection: its requests in progress in the order of their arrival, and the way in which it closes. */
export class CallerConnection {
    private readonly opts: CallerConnectionOptions;
    private readonly openedAtMs: number;
    /** Keys of the requests whose headers have been read and whose response has not been written completely. */
    private readonly unfinishedKeys = new Set<string>();
    private newestKey: string | undefined;
    /** Bytes read at the end of the latest request. More bytes belong to a request that is still being received. */
    private bytesReadAtRequestEnd = 0;
    private isClosingAfterResponse = false;
    private lingerTimer: NodeJS.Timeout | undefined;

    constructor(opts: CallerConnectionOptions) {
        this.opts = opts;
        this.openedAtMs = opts.nowMs();
        // Node.js closes the connection with this method after the last response. Closed with unread bytes, such as a
        // pipelined request, the connection is reset, and the caller loses what it has not received of that response.
        opts.socket.destroySoon = () => {
            this.close();
        };
        opts.socket.once("close", () => {
            clearTimeout(this.lingerTimer);
        });
    }

    /** Whether no further request of the connection is forwarded. */
    get isClosing(): boolean {
        return this.isClosingAfterResponse || this.lingerTimer !== undefined;
    }

    get unfinishedRequestKeys(): ReadonlySet<string> {
        return this.unfinishedKeys;
    }

    /** Whether no request is in progress, partly received or, on a new connection, about to arrive. */
    get isIdle(): boolean {
        const { socket, nowMs } = this.opts;
        return this.unfinishedKeys.size === 0 && socket.bytesRead === this.bytesReadAtRequestEnd
            && (socket.bytesRead > 0 || nowMs() - this.openedAtMs >= ENTRY_TIMINGS.firstRequestTimeoutMs);
    }

    addRequest(requestKey: string): void {
        this.unfinishedKeys.add(requestKey);
        this.newestKey = requestKey;
    }

    onRequestRead(): void {
        this.bytesReadAtRequestEnd = this.opts.socket.bytesRead;
    }

    /** Returns false if the request was finished before. */
    finishRequest(requestKey: string): boolean {
        return this.unfinishedKeys.delete(requestKey);
    }

    isNewest(requestKey: string): boolean {
        return this.newestKey === requestKey;
    }

    closeAfterResponse(): void {
        this.isClosingAfterResponse = true;
    }

    /** Ends the responses, and reads and ignores what still arrives until the caller closes its side too. */
    close(): void {
        const { socket } = this.opts;
        if (this.lingerTimer === undefined) {
            this.lingerTimer = setTimeout(() => {
                socket.destroy();
            }, ENTRY_TIMINGS.lingerTimeoutMs);
            socket.end();
            socket.resume();
        }
    }
}
