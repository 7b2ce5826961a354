import {
    createPipelineState,
    type PipelineEffect,
    type PipelineEvent,
    type PipelineState,
    reducePipeline,
} from "@marigoldstall/requests.pipeline";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import type { HeldConnection } from "./held-connection.js";

interface CallerConnectionOptions {
    readonly socket: Socket;
    readonly nowMs: () => number;
    readonly isStopping: () => boolean;
    readonly execute: (effect: PipelineEffect) => void;
}

/** A caller's connection: drives the reducer for its requests, and closes without losing bytes that were sent. */
export class CallerConnection {
    private readonly opts: CallerConnectionOptions;
    private readonly openedAtMs: number;
    private state: PipelineState = createPipelineState();
    private readonly events: PipelineEvent[] = [];
    private isReducing = false;
    /** Bytes read at the end of the latest request. More bytes belong to a request that is still being received. */
    private bytesReadAtRequestEnd = 0;
    private lingerTimer: NodeJS.Timeout | undefined;
    private newestKey: string | undefined;
    private progressMs: number;

    constructor(opts: CallerConnectionOptions) {
        this.opts = opts;
        this.openedAtMs = opts.nowMs();
        this.progressMs = this.openedAtMs;
        // Node.js closes the connection with this method after the last response. Closed with unread bytes, such as a
        // pipelined request, the connection is reset, and the caller loses what it has not received of that response.
        opts.socket.destroySoon = () => {
            this.close();
        };
        // Node.js emits no close event for responses that are queued behind another one.
        opts.socket.once("close", () => {
            clearTimeout(this.lingerTimer);
            this.dispatch({ type: "connection-closed" });
        });
    }

    get socket(): Socket {
        return this.opts.socket;
    }

    /** Whether no request is in progress, partly received or, on a new connection, about to arrive. */
    get isIdle(): boolean {
        const { socket, nowMs } = this.opts;
        return this.expectedInput === "request"
            && (socket.bytesRead > 0 || nowMs() - this.openedAtMs >= ENTRY_TIMINGS.firstRequestTimeoutMs);
    }

    /** Key of the request whose headers were read last. It may have been ignored or answered. */
    get newestRequestKey(): string | undefined {
        return this.newestKey;
    }

    /**
     * What the caller has to do next: send a new request or the rest of one that it has begun, read a response, or wait
     * for a server.
     */
    get expectedInput(): "request" | "head" | "body" | "reading" | "nothing" {
        const { requests } = this.state;
        if (requests.length > 0) {
            return requests.some(({ phase }) => phase === "receiving")
                ? "body"
                : requests.some(({ phase }) => phase === "writing")
                ? "reading"
                : "nothing";
        }
        return this.opts.socket.bytesRead === this.bytesReadAtRequestEnd ? "request" : "head";
    }

    /** What the connection is used for when its descriptor may be needed for another one. */
    get phase(): HeldConnection["phase"] {
        const { requests } = this.state;
        if (requests.length > 0) {
            return requests.every(({ phase }) => phase === "receiving") ? "receiving" : "busy";
        }
        if (this.lingerTimer !== undefined) {
            return "closing";
        }
        const { bytesRead } = this.opts.socket;
        return bytesRead === 0 ? "silent" : bytesRead === this.bytesReadAtRequestEnd ? "idle" : "head";
    }

    /** When bytes of a body were last received, or a request or response was completed. */
    get progressAtMs(): number {
        return this.progressMs;
    }

    /** Bytes of a head that has not been received completely. */
    get partialHeadBytes(): number {
        return this.phase === "head" ? this.opts.socket.bytesRead - this.bytesReadAtRequestEnd : 0;
    }

    noteProgress(): void {
        this.progressMs = this.opts.nowMs();
    }

    /** Closes the connection at once, with everything that was not sent. */
    destroy(): void {
        this.opts.socket.destroy();
    }

    /** Whether nothing that still arrives is passed on. */
    get isClosing(): boolean {
        return this.state.isClosing;
    }

    /** Keys of the requests in progress. */
    get requestKeys(): readonly string[] {
        return this.state.requests.map(({ requestKey }) => requestKey);
    }

    /** Applies an event and executes the effects. Events that effects cause are applied after them. */
    dispatch(event: PipelineEvent): void {
        this.noteProgress();
        if (event.type === "request-started") {
            this.newestKey = event.requestKey;
        }
        this.events.push(event);
        if (this.isReducing) {
            return;
        }
        this.isReducing = true;
        try {
            for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
                const { state, effects } = reducePipeline(this.state, next, { isStopping: this.opts.isStopping() });
                this.state = state;
                effects.forEach(this.opts.execute);
            }
        }
        finally {
            this.isReducing = false;
        }
    }

    /** Limits the time without a byte until the newest request has been read or, while it is written, its response. */
    limitQuietTime(timeoutMs: number): void {
        this.opts.socket.setTimeout(timeoutMs);
    }

    onRequestRead(requestKey: string): void {
        const { socket } = this.opts;
        this.bytesReadAtRequestEnd = socket.bytesRead;
        // Node.js reports the end of a request after the start of one that came in the same piece.
        if (requestKey === this.newestKey && !this.state.requests.some(({ phase }) => phase === "writing")) {
            socket.setTimeout(0);
        }
    }

    /** Whether requests behind a given one have been passed on. */
    hasFollowers(requestKey: string): boolean {
        const { requests } = this.state;
        const index = requests.findIndex(request => request.requestKey === requestKey);
        return requests.slice(index + 1).some(({ phase }) => phase !== "receiving" && phase !== "held");
    }

    /** Answers input that is no request, and closes the connection. */
    closeWithError(statusCode: number): void {
        const lines = [
            `HTTP/1.1 ${statusCode} ${STATUS_CODES[statusCode] ?? ""}`,
            "Content-Length: 0",
            "Connection: close",
        ];
        this.opts.socket.write(`${lines.join("\r\n")}\r\n\r\n`);
        this.close();
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
            this.dispatch({ type: "connection-closing" });
        }
    }
}
