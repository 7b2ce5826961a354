import { createServer as createHttpServer } from "node:http";
import type { IncomingMessage, Server as HttpServer, ServerResponse } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { FaultSocket } from "./fault-socket.js";

/** Accepts connections slowly, and hands them to an HTTP server through a {@link FaultSocket}. */
export class Listener {
    private readonly acceptMs: number;
    private readonly onAccept: () => void;
    private readonly http: HttpServer;
    private readonly tcp: Server;
    private readonly sockets = new Set<FaultSocket>();
    private nextAcceptAtMs = 0;

    constructor(opts: {
        readonly acceptMs: number;
        readonly maxConnections: number;
        readonly onAccept: () => void;
        readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void;
    }) {
        this.acceptMs = opts.acceptMs;
        this.onAccept = opts.onAccept;
        this.http = createHttpServer({ keepAlive: true }, opts.onRequest);
        this.tcp = createServer({ pauseOnConnect: true, allowHalfOpen: true }, raw => this.accept(raw));
        this.tcp.maxConnections = opts.maxConnections;
    }

    async listen(port: number): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.tcp.once("error", reject);
            this.tcp.listen(port, "127.0.0.1", resolve);
        });
        return (this.tcp.address() as AddressInfo).port;
    }

    /** Applies to the connections that exist now, but for `except`; later ones work. */
    silence(direction: "in" | "out" | "both", opts: { readonly except?: FaultSocket | undefined; }): void {
        for (const socket of this.sockets) {
            if (socket !== opts.except) {
                socket.silence(direction);
            }
        }
    }

    /** Stops listening and closes all connections, as the end of the process does. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.tcp.close(() => resolve()));
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }

    private accept(raw: Socket): void {
        const atMs = performance.now();
        this.nextAcceptAtMs = Math.max(atMs, this.nextAcceptAtMs) + this.acceptMs;
        const socket = new FaultSocket(raw);
        this.sockets.add(socket);
        raw.once("close", () => this.sockets.delete(socket));
        setTimeout(() => {
            if (!raw.destroyed) {
                this.onAccept();
                this.http.emit("connection", socket.stream);
            }
        }, this.nextAcceptAtMs - atMs);
    }
}
