import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

type Handler = (request: IncomingMessage, response: ServerResponse, backend: TestBackend) => void;

/** Backend server for tests. A handler answers the requests of callers; the paths below `/_` are built in. */
export class TestBackend {
    address = "";
    instanceId = "instance-1";
    cancellationState = "running";
    /** Paths of the requests that the handler received, in order. */
    readonly receivedPaths: string[] = [];
    readonly cancelledRequestIds: string[] = [];
    readonly healthChecks: string[] = [];
    readonly sockets = new Set<Socket>();
    handler: Handler;
    private readonly server: Server;

    constructor(handler: Handler = (request, response, backend) => {
        backend.answer(request, response);
    }) {
        this.handler = handler;
        this.server = createServer((request, response) => {
            this.serve(request, response);
        });
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    async start(): Promise<this> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
        return this;
    }

    stop(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    headers(request: IncomingMessage): Record<string, string> {
        return {
            "Request-Id": String(request.headers["request-id"]),
            "Instance-Id": this.instanceId,
            "Load-Report": "in-flight=1; queued=0; slots=2",
        };
    }

    /** Reads the body and answers 200 with the method, the path and the length of the body. */
    answer(request: IncomingMessage, response: ServerResponse, extraHeaders: Record<string, string> = {}): void {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const body = `${request.method} ${request.url} ${Buffer.concat(chunks).length}`;
            response.writeHead(200, { ...this.headers(request), "Content-Length": body.length, ...extraHeaders });
            response.end(body);
        });
    }

    /** Sheds a request: answers 503 and states that it did not run. */
    shed(request: IncomingMessage, response: ServerResponse, extraHeaders: Record<string, string> = {}): void {
        request.resume();
        response.writeHead(503, { ...this.headers(request), "Not-Run": "true", "Content-Length": 0, ...extraHeaders });
        response.end();
    }

    private serve(request: IncomingMessage, response: ServerResponse): void {
        const path = request.url ?? "";
        const json = (body: unknown): void => {
            response.writeHead(200, { "Instance-Id": this.instanceId, "Content-Type": "application/json" });
            response.end(JSON.stringify(body));
        };
        if (path === "/_health") {
            this.healthChecks.push(path);
            json({ status: "ok" });
        }
        else if (path === "/_load") {
            json({ inFlight: 0, queued: 0, slots: 2 });
        }
        else if (path.startsWith("/_requests/")) {
            this.cancelledRequestIds.push(decodeURIComponent(path.slice("/_requests/".length)));
            json({ state: this.cancellationState });
        }
        else {
            this.receivedPaths.push(path);
            this.handler(request, response, this);
        }
    }
}
