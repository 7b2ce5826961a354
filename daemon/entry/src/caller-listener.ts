import { BodyBudget, BodyCollector, collectBody } from "@marigoldstall/core.http-body";
import type { CallerLimits } from "@marigoldstall/core.types";
import { endToEndHeaders } from "@marigoldstall/daemon.connections";
import { listenOn } from "@marigoldstall/fleet.rpc";
import { decodeCallerRequestHead, encodeRejectionHeaders, INTERNAL_HEADERS } from "@marigoldstall/platform.adapter";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { BufferedResponse } from "./buffered-response.js";
import { CallerConnection } from "./caller-connection.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import { isForwardable } from "./is-forwardable.js";
import type { OpenRequest } from "./open-request.js";

// Limits that apply until a configuration is active. Node.js cannot change `maxHeaderSize` after the server is created,
// so MAX_HEADER_BYTES also caps the configured header limit.
const MAX_HEADER_BYTES = 65_536;
const INITIAL_MAX_BODY_BYTES = 8 * 1_024 * 1_024;
// The smallest VMs have 250 MB, of which the process needs about 60 MB without any request.
const MAX_BODIES_BYTES = 64 * 1_024 * 1_024;
const BODIES_TOO_LARGE_RETRY_AFTER_MS = 500;
// The first round may have passed the sockets already. The kernel keeps 511 waiting connections.
const QUIET_ACCEPT_ROUNDS = 2;
const MAX_ACCEPT_ROUNDS = 600;
const STATUS_BAD_REQUEST = 400;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;

const countHeaderBytes = (message: IncomingMessage): number =>
    message.rawHeaders.reduce((bytes, text) => bytes + text.length, message.url?.length ?? 0);

interface Reply {
    readonly statusCode: number;
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

interface CallerListenerOptions {
    readonly isStopping: () => boolean;
    readonly nowMs: () => number;
    readonly onRequest: (request: OpenRequest, receivedAtMs: number, deadlineMs: number | undefined) => void;
    readonly onCallerLeft: (requestKey: string) => void;
    /** Called when a response could not be sent as it should. */
    readonly onFault: (step: string, error: unknown) => void;
}

/** HTTP listener for callers' requests. */
export class CallerListener {
    private readonly opts: CallerListenerOptions;
    private readonly server: Server;
    private readonly bodyBudget = new BodyBudget({ maxBytes: MAX_BODIES_BYTES });
    private readonly openRequests = new Map<string, OpenRequest>();
    /** Bodies of the unfinished requests. */
    private readonly bodies = new Map<string, BodyCollector>();
    private readonly connections = new Map<Socket, CallerConnection>();
    private maxHeaderBytes = MAX_HEADER_BYTES;
    private maxBodyBytes = INITIAL_MAX_BODY_BYTES;
    private unfinishedRequests = 0;
    private nextRequestKey = 1;
    private acceptedConnections = 0;

    constructor(opts: CallerListenerOptions) {
        this.opts = opts;
        this.server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            requireHostHeader: false,
            requestTimeout: 0,
            keepAliveTimeout: ENTRY_TIMINGS.initialIdleTimeoutMs,
            noDelay: true,
        }, (message, response) => {
            this.handleRequest(message, response);
        });
        this.server.on("connection", socket => {
            this.acceptedConnections += 1;
            this.connection(socket);
        });
    }

    /** Number of open connections, including those that only wait for the caller to close its side. */
    get connectionCount(): number {
        return this.connections.size;
    }

    /** Number of requests whose headers have been read and whose response has not been sent completely. */
    get unfinishedCount(): number {
        return this.unfinishedRequests;
    }

    async listen(address: string): Promise<void> {
        await listenOn(this.server, address);
    }

    applyLimits(limits: CallerLimits): void {
        this.maxHeaderBytes = limits.headerBytes;
        this.maxBodyBytes = limits.bodyBytes;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs + ENTRY_TIMINGS.initialIdleTimeoutMs;
    }

    find(requestKey: string): OpenRequest | undefined {
        return this.openRequests.get(requestKey);
    }

    /** Stops accepting new connections. Those that wait to be accepted are accepted first, as closing resets them. */
    async stopListening(): Promise<void> {
        // Node.js accepts one connection in each round of its event loop, and runs due timers before.
        let quietRounds = 0;
        for (let round = 0; round < MAX_ACCEPT_ROUNDS && quietRounds < QUIET_ACCEPT_ROUNDS; round += 1) {
            const acceptedBefore = this.acceptedConnections;
            await new Promise(resolve => {
                setImmediate(resolve);
            });
            quietRounds = this.acceptedConnections === acceptedBefore ? quietRounds + 1 : 0;
        }
        NetServer.prototype.close.call(this.server);
    }

    /**
     * Closes idle connections, or all connections if no request is unfinished. Returns true in the latter case: no
     * further request is forwarded, so the process can exit without cutting one off.
     */
    closeIfIdle(): boolean {
        const isIdle = this.unfinishedRequests === 0;
        for (const connection of this.connections.values()) {
            if (isIdle || connection.isIdle) {
                connection.close();
            }
        }
        return isIdle;
    }

    relay(requestKey: string, backendResponse: BufferedResponse): void {
        this.answer(requestKey, request => {
            const headers = endToEndHeaders(backendResponse.rawHeaders, {
                connection: backendResponse.connectionHeader,
                excluded: INTERNAL_HEADERS,
            });
            if (backendResponse.isFramed) {
                headers.push("Content-Length", String(backendResponse.body.length));
            }
            else {
                // Only the backend server knows whether its response was truncated. An added Content-Length would make a
                // truncated response look complete, so the end of the connection delimits the body here as well.
                request.response.useChunkedEncodingByDefault = false;
                request.response.shouldKeepAlive = false;
                this.connection(request.message.socket).closeAfterResponse();
            }
            return { statusCode: backendResponse.statusCode, headers, body: backendResponse.body };
        });
    }

    reject(
        requestKey: string,
        opts: { readonly statusCode: number; readonly retryAfterMs: number | undefined; },
    ): void {
        this.answer(requestKey, ({ requestId }) => ({
            statusCode: opts.statusCode,
            headers: encodeRejectionHeaders({ requestId, retryAfterMs: opts.retryAfterMs }),
            body: undefined,
        }));
    }

    // The request is known to nobody else from here on, so every way out of this function ends it.
    private answer(requestKey: string, createReply: (request: OpenRequest) => Reply): void {
        const request = this.removeOpenRequest(requestKey);
        if (request === undefined) {
            return;
        }
        try {
            this.sendResponse(request, createReply(request));
        }
        catch (error) {
            this.opts.onFault("answer-request", error);
            this.sendBadGateway(request);
        }
    }

    /** Answers a request whose response cannot be sent. The status promises nothing, as the request may have run. */
    private sendBadGateway({ response }: OpenRequest): void {
        try {
            response.writeHead(STATUS_BAD_GATEWAY, { "Content-Length": 0 });
            response.end();
        }
        catch (error) {
            this.opts.onFault("answer-request", error);
            response.destroy();
        }
    }

    private handleRequest(message: IncomingMessage, response: ServerResponse): void {
        const receivedAtMs = this.opts.nowMs();
        const { socket } = message;
        const connection = this.connection(socket);
        const hasUnfinishedRequest = connection.unfinishedRequestKeys.size > 0;
        if (connection.isClosing || (this.opts.isStopping() && hasUnfinishedRequest)) {
            // The connection closes after the response to an earlier request, and the caller resends this one.
            message.resume();
            return;
        }
        const requestKey = String(this.nextRequestKey);
        this.nextRequestKey += 1;
        connection.addRequest(requestKey);
        this.unfinishedRequests += 1;
        response.sendDate = false;
        response.on("error", () => undefined);
        response.on("close", () => {
            this.finishRequest(connection, requestKey);
        });
        message.on("error", () => undefined);
        const rejectWithStatus = (statusCode: number, opts: { readonly retryAfterMs?: number; } = {}): void => {
            message.resume();
            response.shouldKeepAlive = false;
            connection.closeAfterResponse();
            const { requestId } = decodeCallerRequestHead(message.headers);
            response.writeHead(statusCode, encodeRejectionHeaders({ requestId, retryAfterMs: opts.retryAfterMs }));
            response.end();
        };
        if (countHeaderBytes(message) > this.maxHeaderBytes) {
            rejectWithStatus(STATUS_HEADERS_TOO_LARGE);
            return;
        }
        if (!isForwardable(message)) {
            rejectWithStatus(STATUS_BAD_REQUEST);
            return;
        }
        const collector = new BodyCollector({
            maxBytes: this.maxBodyBytes,
            budget: this.bodyBudget,
            onExceeded: limit => {
                if (limit === "body-size") {
                    rejectWithStatus(STATUS_BODY_TOO_LARGE);
                }
                else {
                    rejectWithStatus(STATUS_UNAVAILABLE, { retryAfterMs: BODIES_TOO_LARGE_RETRY_AFTER_MS });
                }
            },
        });
        this.bodies.set(requestKey, collector);
        collectBody(message, collector);
        message.on("end", () => {
            connection.onRequestRead();
            if (response.headersSent || response.destroyed) {
                return;
            }
            const { requestId, deadlineMs } = decodeCallerRequestHead(message.headers);
            const hasBody = collector.byteCount > 0 || message.headers["content-length"] !== undefined;
            const body = hasBody ? collector.complete() : undefined;
            const hasFollowers = (): boolean => !connection.isNewest(requestKey);
            const request = { requestKey, requestId, message, response, body, hasFollowers };
            this.openRequests.set(requestKey, request);
            this.opts.onRequest(request, receivedAtMs, deadlineMs);
        });
    }

    private connection(socket: Socket): CallerConnection {
        let connection = this.connections.get(socket);
        if (connection === undefined) {
            const opened = new CallerConnection({ socket, nowMs: this.opts.nowMs });
            this.connections.set(socket, opened);
            // Node.js emits no close event for responses that are queued behind another one.
            socket.once("close", () => {
                this.connections.delete(socket);
                for (const requestKey of [...opened.unfinishedRequestKeys]) {
                    this.finishRequest(opened, requestKey);
                }
            });
            connection = opened;
        }
        return connection;
    }

    private finishRequest(connection: CallerConnection, requestKey: string): void {
        if (!connection.finishRequest(requestKey)) {
            return;
        }
        this.unfinishedRequests -= 1;
        this.bodies.get(requestKey)?.release();
        this.bodies.delete(requestKey);
        if (this.removeOpenRequest(requestKey) !== undefined) {
            this.opts.onCallerLeft(requestKey);
        }
    }

    private removeOpenRequest(requestKey: string): OpenRequest | undefined {
        const request = this.openRequests.get(requestKey);
        this.openRequests.delete(requestKey);
        return request;
    }

    private sendResponse(request: OpenRequest, reply: Reply): void {
        const { response, message } = request;
        if (response.destroyed || message.socket.destroyed) {
            return;
        }
        const connection = this.connection(message.socket);
        // A connection with pipelined requests stays open until all of them have been answered.
        if (this.opts.isStopping() && connection.isNewest(request.requestKey)) {
            response.shouldKeepAlive = false;
            connection.closeAfterResponse();
        }
        response.writeHead(reply.statusCode, reply.headers);
        response.end(reply.body);
    }
}
