import type { Socket } from "node:net";
import type { Clock } from "./clock.js";
import { SocketAgent } from "./socket-agent.js";

// A connection can break without either side noticing. Bytes received within this time show that it still works.
const FRESHNESS_WINDOW_MS = 2_000;
const MAX_REFUSED_REQUEST_IDS = 64;

/** Connection to a backend server that carries one request at a time. */
export class BackendConnection {
    readonly agent: SocketAgent;
    lastReceivedAtMs: number;
    /** Idle timeout that the server announced, undefined if it announced none. */
    keepAliveMs: number | undefined;
    private readonly socket: Socket;
    private readonly clock: Clock;
    private reservations = 0;
    /** Ids of requests that the server refused on this connection. */
    private readonly refusedRequestIds = new Set<string>();
    private state: "idle" | "busy" | "closed" = "idle";
    /** Whether the response to the current request is complete. Any byte after that is unexpected. */
    private isResponseComplete: () => boolean = () => true;
    private receivedUnexpectedBytes = false;

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
            // A late or duplicate response must not be taken for the response to the next request.
            if (this.isResponseComplete()) {
                this.receivedUnexpectedBytes = true;
                this.socket.destroy();
            }
        });
        this.socket.on("free", () => {
            if (this.receivedUnexpectedBytes || this.state !== "busy") {
                this.destroy();
                return;
            }
            this.state = "idle";
            this.isResponseComplete = () => true;
            opts.onFree(this);
        });
        // http.request reports the errors of a busy connection. For an idle one, the close event removes it.
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => {
            this.state = "closed";
            opts.onClosed(this);
        });
    }

    get usable(): boolean {
        return this.state === "idle" && !this.socket.destroyed && this.socket.writable;
    }

    /** Whether the connection opened or received bytes recently enough for a request that must not run twice. */
    isFresh(nowMs: number): boolean {
        return nowMs - this.lastReceivedAtMs <= FRESHNESS_WINDOW_MS;
    }

    /** Reserves the connection for one request. */
    reserve(): void {
        this.state = "busy";
        this.reservations += 1;
    }

    /** Whether nothing was sent before the current request, so that no response can belong to an earlier one. */
    get isFirstExchange(): boolean {
        return this.reservations <= 1;
    }

    /** Remembers a refused request. A late copy of that response would look like one to the same request sent again. */
    addRefusal(requestId: string): void {
        this.refusedRequestIds.add(requestId);
        const [oldest] = this.refusedRequestIds;
        if (this.refusedRequestIds.size > MAX_REFUSED_REQUEST_IDS && oldest !== undefined) {
            this.refusedRequestIds.delete(oldest);
        }
    }

    hasRefused(requestId: string): boolean {
        return this.refusedRequestIds.has(requestId);
    }

    /** Makes a reserved connection idle again. Only valid before a byte was sent on it. */
    cancelReservation(): void {
        if (this.state === "busy") {
            this.state = "idle";
            this.reservations -= 1;
        }
    }

    /** Sets the check that tells whether the response to the current request is complete. */
    expectResponse(isComplete: () => boolean): void {
        this.isResponseComplete = isComplete;
    }

    destroy(): void {
        this.socket.destroy();
    }
}
