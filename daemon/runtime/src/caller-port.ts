import type { RequestLimits } from "@marigoldstall/config.settings";
import type { Clock } from "@marigoldstall/daemon.connections";
import { listenOn } from "@marigoldstall/fleet.rpc";
import { createServer, type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { CallerPortHooks } from "./caller-port-hooks.js";
import { CallerRequest } from "./caller-request.js";
import { FINGERPRINT_BYTES } from "./fingerprint-bytes.js";
import { parseCallerRequest } from "./parse-caller-request.js";
import type { Rejection } from "./rejection.js";
import { REJECTIONS } from "./rejections.js";
import { writeAnswer } from "./write-answer.js";

// Room for the headers that the daemon adds. A backend server with the same limit would otherwise refuse a request
// that the daemon let pass, and look as if it failed.
const ADDED_HEADER_BYTES = 512;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** The port on which callers send requests. */
export class CallerPort {
    readonly requests = new Map<string, CallerRequest>();
    /** Answers that were not yet handed to the operating system whole; a request ends before its answer does. */
    openAnswers = 0;
    private readonly limits: RequestLimits;
    private readonly clock: Clock;
    private readonly hooks: CallerPortHooks;
    private readonly requestIdPrefix: string;
    private readonly server: Server;
    private readonly connectionCounts = new Map<string, number>();
    /** Connections above the limit; what still arrives on them is ignored. */
    private readonly refused = new WeakSet<Socket>();
    private readonly unanswered = new WeakMap<Socket, Set<CallerRequest>>();
    private nextId = 1;

    constructor(opts: {
        readonly limits: RequestLimits;
        readonly clock: Clock;
        readonly hooks: CallerPortHooks;
        /** Unique to this run of the daemon, so that no two requests of the fleet share an id. */
        readonly requestIdPrefix: string;
    }) {
        this.limits = opts.limits;
        this.clock = opts.clock;
        this.hooks = opts.hooks;
        this.requestIdPrefix = opts.requestIdPrefix;
        this.server = createServer({
            maxHeaderSize: opts.limits.headerBytes - ADDED_HEADER_BYTES,
            // Node.js would answer without an outcome.
            requireHostHeader: false,
            headersTimeout: HEADERS_TIMEOUT_MS,
            // The sweep limits the time of a body, so that the caller gets an answer with an outcome.
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
            this.answerRejection(message, response, { requestId, rejection: REJECTIONS.expectation });
        });
        this.server.on("connect", (message: IncomingMessage, socket) => {
            this.refuseRaw(socket as Socket, REJECTIONS.malformedRequest);
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            this.refuseMalformed(error, socket as Socket);
        });
    }

    /** Opens the port and returns its address. */
    async listen(address: string): Promise<string> {
        return await listenOn(this.server, address);
    }

    /** Takes no new connections. Open ones stay: http.Server.close would cut those that are idle at this moment. */
    stopListening(): void {
        NetServer.prototype.close.call(this.server);
    }

    closeConnections(): void {
        this.server.closeAllConnections();
    }

    /** Ends a request: it was answered, or cannot be. */
    finish(request: CallerRequest): void {
        request.finished = true;
        this.requests.delete(request.requestId);
        this.unanswered.get(request.message.socket)?.delete(request);
    }

    /** Ends requests of callers that send or read too slowly. Called several times a second. */
    sweep(): void {
        const nowMs = this.clock.atMs();
        const { bodyTimeoutMs } = this.limits;
        for (const request of this.requests.values()) {
            if (!request.dispatched) {
                if (nowMs - request.arrivedAtMs > bodyTimeoutMs) {
                    this.refuse(request, REJECTIONS.bodyTimeout);
                }
                continue;
            }
            const sendsSlowly = request.bodyTaken && !request.bodyComplete && !request.message.isPaused();
            if (
                (sendsSlowly || request.response.writableNeedDrain) && !request.callerGone
                && nowMs - request.progressAtMs > bodyTimeoutMs
            ) {
                request.response.destroy();
            }
        }
    }

    private receive(message: IncomingMessage, response: ServerResponse): void {
        if (this.refused.has(message.socket)) {
            return;
        }
        const requestId = this.createRequestId();
        this.openAnswers += 1;
        response.on("close", () => {
            this.openAnswers -= 1;
        });
        if (this.hooks.isStopping()) {
            response.shouldKeepAlive = false;
        }
        const targets = this.hooks.targets();
        if (targets === undefined || this.requests.size >= this.limits.requestsInFlight) {
            const rejection = targets === undefined ? REJECTIONS.noConfiguration : REJECTIONS.tooManyRequests;
            this.answerRejection(message, response, { requestId, rejection });
            return;
        }
        const parsed = parseCallerRequest(message, { targets, defaultTimeoutMs: this.limits.defaultDeadlineMs });
        if (parsed.isErr()) {
            this.answerRejection(message, response, { requestId, rejection: parsed.error });
            return;
        }
        const request = new CallerRequest({ requestId, message, response, clock: this.clock, ...parsed.value });
        this.requests.set(requestId, request);
        const { socket } = message;
        const unanswered = this.unanswered.get(socket);
        if (unanswered === undefined) {
            this.unanswered.set(socket, new Set([request]));
        }
        else {
            unanswered.add(request);
        }
        response.on("error", () => undefined);
        response.on("close", () => {
            if (!request.finished) {
                request.callerGone = true;
                if (request.dispatched) {
                    this.hooks.left(request);
                }
                else {
                    this.finish(request);
                }
            }
        });
        if (message.headers["transfer-encoding"] === undefined && (request.statedBytes ?? 0) === 0) {
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
        if (!request.finished && !request.callerGone) {
            request.dispatched = true;
            request.progressAtMs = this.clock.atMs();
            this.hooks.arrived(request);
        }
    }

    private refuse(request: CallerRequest, rejection: Rejection): void {
        this.finish(request);
        this.answerRejection(request.message, request.response, { requestId: request.requestId, rejection });
    }

    private answerRejection(message: IncomingMessage, response: ServerResponse, opts: {
        readonly requestId: string;
        readonly rejection: Rejection;
    }): void {
        this.hooks.rejected(opts.rejection);
        if (!message.complete) {
            response.shouldKeepAlive = false;
        }
        message.on("error", () => undefined);
        writeAnswer(response, { requestId: opts.requestId, outcome: "not-run", ...opts.rejection });
    }

    private countConnection(socket: Socket): void {
        const address = socket.remoteAddress ?? "";
        const count = (this.connectionCounts.get(address) ?? 0) + 1;
        this.connectionCounts.set(address, count);
        socket.on("close", () => {
            const left = (this.connectionCounts.get(address) ?? 1) - 1;
            if (left === 0) {
                this.connectionCounts.delete(address);
            }
            else {
                this.connectionCounts.set(address, left);
            }
        });
        if (count > this.limits.connectionsPerCallerAddress) {
            this.refused.add(socket);
            this.refuseRaw(socket, REJECTIONS.tooManyConnections);
        }
    }

    private refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
        if (this.refused.has(socket)) {
            return;
        }
        const rejection = error.code === "HPE_HEADER_OVERFLOW"
            ? REJECTIONS.headersTooLarge
            : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? REJECTIONS.bodyTimeout
            : REJECTIONS.malformedRequest;
        const open = [...this.unanswered.get(socket) ?? []];
        const reading = open.find(request => !request.dispatched);
        if (reading !== undefined && open.length === 1) {
            this.refuse(reading, REJECTIONS.malformedRequest);
            return;
        }
        if (open.length > 0) {
            // Requests before the malformed one still get their answers; the connection ends after the last.
            for (const request of open) {
                request.response.shouldKeepAlive = false;
            }
            const last = open.at(-1) as CallerRequest;
            if (!last.bodyComplete) {
                last.response.destroy();
            }
            return;
        }
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        this.refuseRaw(socket, rejection);
    }

    /** Answers on a connection that has no request object. */
    private refuseRaw(socket: Socket, rejection: Rejection): void {
        this.hooks.rejected(rejection);
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
        // The caller may go on sending for as long as it likes; after this time it is cut off.
        socket.setTimeout(1_000, () => {
            socket.destroy();
        });
    }
}
