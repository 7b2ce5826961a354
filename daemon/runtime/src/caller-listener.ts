import type { RequestLimits } from "@marigoldstall/config.settings";
import type { Clock } from "@marigoldstall/daemon.connections";
import { listenOn } from "@marigoldstall/fleet.rpc";
import { createServer, type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { CallerListenerHooks } from "./caller-listener-hooks.js";
import { CallerRequest } from "./caller-request.js";
import { FINGERPRINT_BYTES } from "./fingerprint-bytes.js";
import { parseCallerRequest } from "./parse-caller-request.js";
import type { Rejection } from "./rejection.js";
import { REJECTIONS } from "./rejections.js";
import { writeLocalResponse } from "./write-local-response.js";

// Reserved for the headers that the daemon adds. Otherwise a backend server with the same limit would reject a request
// that the daemon accepted, and the rejection would count as a failure of the server.
const ADDED_HEADER_BYTES = 512;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** HTTP server for the requests of callers. */
export class CallerListener {
    readonly requests = new Map<string, CallerRequest>();
    /** Responses not yet completely handed to the operating system. A request is finished before its response is. */
    unfinishedResponses = 0;
    private readonly limits: RequestLimits;
    private readonly clock: Clock;
    private readonly hooks: CallerListenerHooks;
    private readonly requestIdPrefix: string;
    private readonly server: Server;
    private readonly connectionCounts = new Map<string, number>();
    /** Connections above the limit. Data that still arrives on them is ignored. */
    private readonly rejectedSockets = new WeakSet<Socket>();
    private readonly openRequestsBySocket = new WeakMap<Socket, Set<CallerRequest>>();
    private nextId = 1;

    constructor(opts: {
        readonly limits: RequestLimits;
        readonly clock: Clock;
        readonly hooks: CallerListenerHooks;
        /** Unique to this run of the daemon, so that request ids are unique in the fleet. */
        readonly requestIdPrefix: string;
    }) {
        this.limits = opts.limits;
        this.clock = opts.clock;
        this.hooks = opts.hooks;
        this.requestIdPrefix = opts.requestIdPrefix;
        this.server = createServer({
            maxHeaderSize: opts.limits.headerBytes - ADDED_HEADER_BYTES,
            // The response of Node.js to a missing Host header would have no outcome.
            requireHostHeader: false,
            headersTimeout: HEADERS_TIMEOUT_MS,
            // enforceTimeouts limits the time for a body instead, so that the response has an outcome.
            requestTimeout: 0,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            connectionsCheckingInterval: 1_000,
            noDelay: true,
        }, (message, response) => {
            this.receive(message, response);
        });
        this.server.on("connection", socket => {
            this.countConnection(socket);
        });
        this.server.on("checkExpectation", (message: IncomingMessage, response: ServerResponse) => {
            const requestId = this.createRequestId();
            this.sendRejection(message, response, { requestId, rejection: REJECTIONS.expectation });
        });
        this.server.on("connect", (message: IncomingMessage, socket) => {
            this.rejectOnSocket(socket as Socket, REJECTIONS.malformedRequest);
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            this.rejectMalformed(error, socket as Socket);
        });
    }

    /** Starts to listen and returns the bound address. */
    async listen(address: string): Promise<string> {
        return await listenOn(this.server, address);
    }

    /** Stops accepting connections. Unlike http.Server.close, it keeps idle connections, as requests may arrive on them. */
    stopListening(): void {
        NetServer.prototype.close.call(this.server);
    }

    closeConnections(): void {
        this.server.closeAllConnections();
    }

    /** Removes a request that was answered or can no longer be answered. */
    finish(request: CallerRequest): void {
        request.finished = true;
        this.requests.delete(request.requestId);
        this.openRequestsBySocket.get(request.message.socket)?.delete(request);
    }

    /** Ends requests whose callers send or read too slowly. Called several times a second. */
    enforceTimeouts(): void {
        const nowMs = this.clock.atMs();
        const { bodyTimeoutMs } = this.limits;
        for (const request of this.requests.values()) {
            if (!request.dispatched) {
                if (nowMs - request.arrivedAtMs > bodyTimeoutMs) {
                    this.reject(request, REJECTIONS.bodyTimeout);
                }
                continue;
            }
            const sendsSlowly = request.bodyStreamed && !request.bodyComplete && !request.message.isPaused();
            if (
                (sendsSlowly || request.response.writableNeedDrain) && !request.callerDisconnected
                && nowMs - request.lastProgressAtMs > bodyTimeoutMs
            ) {
                request.response.destroy();
            }
        }
    }

    private receive(message: IncomingMessage, response: ServerResponse): void {
        if (this.rejectedSockets.has(message.socket)) {
            return;
        }
        const requestId = this.createRequestId();
        this.unfinishedResponses += 1;
        response.on("close", () => {
            this.unfinishedResponses -= 1;
        });
        if (this.hooks.isStopping()) {
            response.shouldKeepAlive = false;
        }
        const targets = this.hooks.targets();
        if (targets === undefined || this.requests.size >= this.limits.requestsInFlight) {
            const rejection = targets === undefined ? REJECTIONS.noConfiguration : REJECTIONS.tooManyRequests;
            this.sendRejection(message, response, { requestId, rejection });
            return;
        }
        const parsed = parseCallerRequest(message, { targets, defaultTimeoutMs: this.limits.defaultDeadlineMs });
        if (parsed.isErr()) {
            this.sendRejection(message, response, { requestId, rejection: parsed.error });
            return;
        }
        const request = new CallerRequest({ requestId, message, response, clock: this.clock, ...parsed.value });
        this.requests.set(requestId, request);
        const { socket } = message;
        const socketRequests = this.openRequestsBySocket.get(socket);
        if (socketRequests === undefined) {
            this.openRequestsBySocket.set(socket, new Set([request]));
        }
        else {
            socketRequests.add(request);
        }
        response.on("error", () => undefined);
        response.on("close", () => {
            if (!request.finished) {
                request.callerDisconnected = true;
                if (request.dispatched) {
                    this.hooks.onCallerDisconnected(request);
                }
                else {
                    this.finish(request);
                }
            }
        });
        if (message.headers["transfer-encoding"] === undefined && (request.contentLength ?? 0) === 0) {
            request.bodyComplete = true;
            message.resume();
            this.dispatch(request);
            return;
        }
        this.readBody(request);
    }

    private createRequestId(): string {
        const id = this.nextId;
        this.nextId += 1;
        return this.requestIdPrefix + id.toString(36);
    }

    private readBody(request: CallerRequest): void {
        const { message } = request;
        const isKeyed = request.idempotencyKey !== undefined && !request.targets.repeatable;
        const limitBytes = Math.max(this.limits.bufferedBodyBytes, isKeyed ? FINGERPRINT_BYTES : 0);
        const onData = (chunk: Buffer): void => {
            request.chunks.push(chunk);
            request.bodyBytes += chunk.length;
            if (request.bodyBytes > limitBytes) {
                message.pause();
                stop();
                this.dispatch(request);
            }
        };
        const onEnd = (): void => {
            stop();
            request.bodyComplete = true;
            this.dispatch(request);
        };
        const stop = (): void => {
            message.off("data", onData);
            message.off("end", onEnd);
        };
        message.on("data", onData);
        message.on("end", onEnd);
        message.on("error", () => undefined);
    }

    private dispatch(request: CallerRequest): void {
        if (!request.finished && !request.callerDisconnected) {
            request.dispatched = true;
            request.lastProgressAtMs = this.clock.atMs();
            this.hooks.onRequest(request);
        }
    }

    private reject(request: CallerRequest, rejection: Rejection): void {
        this.finish(request);
        this.sendRejection(request.message, request.response, { requestId: request.requestId, rejection });
    }

    private sendRejection(message: IncomingMessage, response: ServerResponse, opts: {
        readonly requestId: string;
        readonly rejection: Rejection;
    }): void {
        this.hooks.onRejected(opts.rejection);
        if (!message.complete) {
            response.shouldKeepAlive = false;
        }
        message.on("error", () => undefined);
        writeLocalResponse(response, { requestId: opts.requestId, outcome: "not-run", ...opts.rejection });
    }

    private countConnection(socket: Socket): void {
        const address = socket.remoteAddress ?? "";
        const count = (this.connectionCounts.get(address) ?? 0) + 1;
        this.connectionCounts.set(address, count);
        socket.on("close", () => {
            const remaining = (this.connectionCounts.get(address) ?? 1) - 1;
            if (remaining === 0) {
                this.connectionCounts.delete(address);
            }
            else {
                this.connectionCounts.set(address, remaining);
            }
        });
        if (count > this.limits.connectionsPerCallerAddress) {
            this.rejectedSockets.add(socket);
            this.rejectOnSocket(socket, REJECTIONS.tooManyConnections);
        }
    }

    private rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
        if (this.rejectedSockets.has(socket)) {
            return;
        }
        const rejection = error.code === "HPE_HEADER_OVERFLOW"
            ? REJECTIONS.headersTooLarge
            : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? REJECTIONS.bodyTimeout
            : REJECTIONS.malformedRequest;
        const openRequests = [...this.openRequestsBySocket.get(socket) ?? []];
        const incomplete = openRequests.find(request => !request.dispatched);
        if (incomplete !== undefined && openRequests.length === 1) {
            this.reject(incomplete, REJECTIONS.malformedRequest);
            return;
        }
        if (openRequests.length > 0) {
            // Requests before the malformed one are still answered. The connection closes after the last response.
            for (const request of openRequests) {
                request.response.shouldKeepAlive = false;
            }
            const last = openRequests.at(-1) as CallerRequest;
            if (!last.bodyComplete) {
                last.response.destroy();
            }
            return;
        }
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        this.rejectOnSocket(socket, rejection);
    }

    /** Writes a rejection to a socket for which Node.js created no request object. */
    private rejectOnSocket(socket: Socket, rejection: Rejection): void {
        this.hooks.onRejected(rejection);
        const requestId = this.createRequestId();
        const body = JSON.stringify({ outcome: "not-run", reason: rejection.reasonCode, requestId });
        const lines = [
            `HTTP/1.1 ${rejection.statusCode} ${STATUS_CODES[rejection.statusCode] ?? ""}`,
            "Content-Type: application/json",
            `Content-Length: ${Buffer.byteLength(body)}`,
            `Request-Id: ${requestId}`,
            "Marigoldstall-Outcome: not-run",
            `Marigoldstall-Reason: ${rejection.reasonCode}`,
            ...rejection.retryAfterMs === undefined ? [] : ["Retry-After: 1"],
            "Connection: close",
        ];
        socket.on("error", () => undefined);
        socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`);
        // Closes the connection of a caller that keeps sending after the response.
        socket.setTimeout(1_000, () => {
            socket.destroy();
        });
    }
}
