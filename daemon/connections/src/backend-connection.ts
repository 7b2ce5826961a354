import type { Socket } from "node:net";
import type { Clock } from "./clock.js";
import { SocketAgent } from "./socket-agent.js";

// A connection may have gone silent without either side knowing; bytes within this time show that it works.
const FRESH_MS = 2_000;

/** One connection to a backend server. It carries one request at a time. */
export class BackendConnection {
    readonly agent: SocketAgent;
    lastReceivedAtMs: number;
    /** How long the server keeps the connection open without a request, where it says so. */
    keepAliveMs: number | undefined;
    private readonly socket: Socket;
    private readonly clock: Clock;
    private state: "idle" | "busy" | "closed" = "idle";
    /** Whether the response of the current request has arrived whole, so that any further byte is unexpected. */
    private isResponseWhole: () => boolean = () => true;
    private unexpectedBytes = false;

    constructor(opts: {
        readonly socket: Socket;
        readonly clock: Clock;
        readonly onFree: (connection: BackendConnection) => void;
        readonly onClosed: (connection: BackendConnection) => void;
    }) {
        this.socket = opts.socket;
        this.clock = opts.clock;
        this.lastReceivedAtMs = opts.clock.atMs();
        this.agent = new SocketAgent(opts.socket);
        this.socket.on("data", () => {
            this.lastReceivedAtMs = this.clock.atMs();
            // A response that comes late or twice must not be taken for the response to the next request.
            if (this.isResponseWhole()) {
                this.unexpectedBytes = true;
                this.socket.destroy();
            }
        });
        this.socket.on("free", () => {
            if (this.unexpectedBytes || this.state !== "busy") {
                this.destroy();
                return;
            }
            this.state = "idle";
            this.isResponseWhole = () => true;
            opts.onFree(this);
        });
        // http.request reports the errors of a busy connection; an idle one is only forgotten.
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => {
            this.state = "closed";
            opts.onClosed(this);
        });
    }

    get usable(): boolean {
        return this.state === "idle" && !this.socket.destroyed && this.socket.writable;
    }

    /** Whether it was opened or received bytes so recently that a request may be sent that must not run twice. */
    isFresh(nowMs: number): boolean {
        return nowMs - this.lastReceivedAtMs <= FRESH_MS;
    }

    /** Reserves the connection for one request. */
    reserve(): void {
        this.state = "busy";
    }

    /** Gives a reserved connection back before any byte was sent on it. */
    giveBack(): void {
        if (this.state === "busy") {
            this.state = "idle";
        }
    }

    /** Says how to recognise that the response of the request now sent has arrived whole. */
    expectResponse(isWhole: () => boolean): void {
        this.isResponseWhole = isWhole;
    }

    destroy(): void {
        this.socket.destroy();
    }
}
