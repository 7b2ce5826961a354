import { createServer as createHttpServer } from "node:http";
import type { IncomingMessage, Server as HttpServer, ServerResponse } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { FaultSocket } from "./fault-socket.js";

/** Accepts connections at a limited rate and passes them to an HTTP server through a {@link FaultSocket}. */
export class Listener {
    private readonly acceptMs: number;
    private readonly onAccept: () => void;
    private readonly httpServer: HttpServer;
    private readonly tcpServer: Server;
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
        this.httpServer = createHttpServer({ keepAlive: true }, opts.onRequest);
        this.tcpServer = createServer(
            { pauseOnConnect: true, allowHalfOpen: true },
            tcpSocket => this.accept(tcpSocket),
        );
        this.tcpServer.maxConnections = opts.maxConnections;
    }

    async listen(port: number): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.tcpServer.once("error", reject);
            this.tcpServer.listen(port, "127.0.0.1", resolve);
        });
        return (this.tcpServer.address() as AddressInfo).port;
    }

    /** Silences all current connections apart from `except`. New connections are not affected. */
    silence(direction: "in" | "out" | "both", opts: { readonly except?: FaultSocket | undefined; }): void {
        for (const socket of this.sockets) {
            if (socket !== opts.except) {
                socket.silence(direction);
            }
        }
    }

    /** Stops listening and closes all connections, as on process exit. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.tcpServer.close(() => resolve()));
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }

    private accept(tcpSocket: Socket): void {
        const atMs = performance.now();
        this.nextAcceptAtMs = Math.max(atMs, this.nextAcceptAtMs) + this.acceptMs;
        const socket = new FaultSocket(tcpSocket);
        this.sockets.add(socket);
        tcpSocket.once("close", () => this.sockets.delete(socket));
        setTimeout(() => {
            if (!tcpSocket.destroyed) {
                this.onAccept();
                this.httpServer.emit("connection", socket.stream);
            }
        }, this.nextAcceptAtMs - atMs);
    }
}
