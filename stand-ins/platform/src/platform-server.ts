import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { PlatformServerDirectives } from "./platform-server-directives.js";

interface PlatformServerOptions {
    readonly instanceId: string;
    readonly workMs: () => number;
    /** Called when the server starts to process a request. */
    readonly onRun: (requestId: string) => void;
    /** Whether the next response has a length. Otherwise the end of the connection delimits it. Default: always. */
    readonly isFramed?: () => boolean;
    /** Called for each request that arrives, before it runs or is refused. */
    readonly onArrival?: (requestId: string) => void;
    /** Called when a request with the query parameter `crash` begins to run. */
    readonly onCrash?: () => void;
}

const SLOTS = 2;
const MAX_QUEUED = 4;

/**
 * Backend server with two slots and a bounded queue. The query parameters `workMs` and `bodyBytes` of a request set how
 * long it runs and how long its response is.
 */
export class PlatformServer {
    readonly instanceId: string;
    /** Maximum number of requests processed concurrently. */
    readonly slots = SLOTS;
    private readonly opts: PlatformServerOptions;
    private readonly server: Server;
    /** What the server asks of its callers in its responses to requests. */
    directives: PlatformServerDirectives = {};
    /** Handles a request in place of the server, before its body is read. Returns whether it did. */
    intercept: (request: IncomingMessage) => boolean = () => false;
    /** Status line that the server sends for requests that it ran, undefined for the one of a 200. */
    statusLine: string | undefined;
    private inFlight = 0;
    private readonly queue: (() => void)[] = [];

    constructor(opts: PlatformServerOptions) {
        this.opts = opts;
        this.instanceId = opts.instanceId;
        this.server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
            if (this.intercept(request)) {
                return;
            }
            request.resume();
            request.on("end", () => {
                this.handleRequest(request, response);
            });
        });
    }

    async listen(host: string): Promise<number> {
        await new Promise<void>(resolve => {
            this.server.listen(0, host, resolve);
        });
        return (this.server.address() as AddressInfo).port;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const load = `${this.inFlight},${this.queue.length},${SLOTS},100`;
        if (request.url === "/health") {
            response.writeHead(200, { "X-Instance-Id": this.instanceId, "X-Backend-Load": load }).end();
            return;
        }
        const requestId = String(request.headers["x-request-id"]);
        this.opts.onArrival?.(requestId);
        const { limitPerSecond, isLeaving, retryAfterS } = this.directives;
        const directives = {
            ...limitPerSecond === undefined ? {} : { "Server-Limit": String(limitPerSecond) },
            ...isLeaving === true ? { "Server-Leaving": "1" } : {},
        };
        const reject = (status: number, headers: Readonly<Record<string, string>> = {}): void => {
            const own = { "X-Request-Id": requestId, "X-Not-Executed": "1", "X-Backend-Load": load };
            response.writeHead(status, { ...own, ...directives, ...headers }).end();
        };
        if (request.headers["x-expect-instance"] !== this.instanceId) {
            reject(421);
            return;
        }
        if (retryAfterS !== undefined) {
            reject(503, { "Retry-After": String(retryAfterS) });
            return;
        }
        if (this.inFlight >= SLOTS && this.queue.length >= MAX_QUEUED) {
            reject(503);
            return;
        }
        const query = new URL(request.url ?? "/", "http://server").searchParams;
        const workMs = Number(query.get("workMs") ?? this.opts.workMs());
        const text = `answer to ${requestId}`;
        const body = Buffer.alloc(Math.max(text.length, Number(query.get("bodyBytes") ?? 0)), ".");
        body.write(text);
        const run = (): void => {
            if (response.destroyed) {
                this.startNext();
                return;
            }
            this.inFlight += 1;
            this.opts.onRun(requestId);
            if (query.has("crash")) {
                this.inFlight -= 1;
                this.opts.onCrash?.();
                return;
            }
            setTimeout(() => {
                this.inFlight -= 1;
                if (this.opts.isFramed?.() === false) {
                    response.useChunkedEncodingByDefault = false;
                    response.shouldKeepAlive = false;
                }
                if (this.statusLine !== undefined) {
                    request.socket.write(
                        `${this.statusLine}\r\nX-Request-Id: ${requestId}\r\nX-Server-Stamp: s\r\n`
                            + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    );
                    this.startNext();
                    return;
                }
                response.writeHead(200, { "X-Request-Id": requestId, "X-Server-Stamp": "s", ...directives });
                response.end(body);
                this.startNext();
            }, workMs);
        };
        if (this.inFlight < SLOTS) {
            run();
        }
        else {
            this.queue.push(run);
        }
    }

    private startNext(): void {
        if (this.inFlight < SLOTS) {
            this.queue.shift()?.();
        }
    }
}
