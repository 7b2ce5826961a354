import type { CallerLimits } from "@marigoldstall/core.types";
import { listenOn } from "@marigoldstall/fleet.rpc";
import { decodeCallerRequestHead } from "@marigoldstall/platform.adapter";
import type { PipelineEffect } from "@marigoldstall/requests.pipeline";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { acceptWaitingConnections } from "./accept-waiting-connections.js";
import { BAD_GATEWAY_REPLY } from "./bad-gateway-reply.js";
import { BlockPool } from "./block-pool.js";
import { BODY_LIMIT_REJECTIONS } from "./body-limit-rejections.js";
import type { BufferedResponse } from "./buffered-response.js";
import { CallerConnection } from "./caller-connection.js";
import { CallerConnections } from "./caller-connections.js";
import type { CallerExchange } from "./caller-exchange.js";
import type { CallerListenerOptions } from "./caller-listener-options.js";
import { CallerMemory } from "./caller-memory.js";
import type { CallerReply } from "./caller-reply.js";
import { createRejection } from "./create-rejection.js";
import { createRelayedReply } from "./create-relayed-reply.js";
import { discardInput } from "./discard-input.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import type { InputFailure } from "./input-failure.js";
import type { OpenRequest } from "./open-request.js";
import { PiecePacer } from "./piece-pacer.js";
import { PooledBody } from "./pooled-body.js";
import { receiveBody } from "./receive-body.js";
import type { Rejection } from "./rejection.js";
import { ReplyWriter } from "./reply-writer.js";
import { selectBodyBytes } from "./select-body-bytes.js";
import { selectHeadRefusal } from "./select-head-refusal.js";
import { watchCallerInput } from "./watch-caller-input.js";

// Limits that apply until a configuration is active. Node.js cannot change `maxHeaderSize` after the server is created,
// so MAX_HEADER_BYTES also caps the configured header limit.
const MAX_HEADER_BYTES = 65_536;
const INITIAL_MAX_BODY_BYTES = 8 * 1_024 * 1_024;
// Applies where the options name no memory, as in tests of the listener alone.
const DEFAULT_MEMORY_BYTES = 64 * 1_024 * 1_024;
const STATUS_EXPECTATION_FAILED = 417;

type RequestEffect = Exclude<PipelineEffect, { readonly type: "write-error"; }>;

const selectRequestId = (message: IncomingMessage): string => decodeCallerRequestHead(message.headers).requestId;

/** HTTP listener for callers' requests. */
export class CallerListener {
    private readonly opts: CallerListenerOptions;
    private readonly server: Server;
    private readonly memory: CallerMemory;
    private readonly pacer: PiecePacer;
    private readonly blockPool: BlockPool;
    private readonly exchanges = new Map<string, CallerExchange>();
    private readonly connections: CallerConnections;
    private readonly writer: ReplyWriter;
    private maxHeaderBytes = MAX_HEADER_BYTES;
    private maxBodyBytes = INITIAL_MAX_BODY_BYTES;
    private nextRequestKey = 1;
    private acceptedConnections = 0;

    constructor(opts: CallerListenerOptions) {
        this.opts = opts;
        this.memory = opts.memory ?? new CallerMemory({ maxBytes: DEFAULT_MEMORY_BYTES, nowMs: opts.nowMs });
        this.pacer = opts.pacer ?? new PiecePacer();
        this.blockPool = opts.blockPool ?? new BlockPool();
        this.connections = new CallerConnections({
            create: socket => {
                const connection: CallerConnection = new CallerConnection({
                    socket,
                    nowMs: opts.nowMs,
                    isStopping: opts.isStopping,
                    execute: effect => {
                        this.run(effect, connection);
                    },
                });
                return connection;
            },
            memory: this.memory,
            maxConnections: opts.maxConnections ?? Infinity,
            nowMs: opts.nowMs,
            onLimited: (limit, fields) => opts.onLimited?.(limit, fields),
        });
        this.writer = new ReplyWriter({
            memory: this.memory,
            onYielding: exchange => this.yieldMemory(exchange),
            onFault: opts.onFault,
        });
        this.server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            requireHostHeader: false,
            requestTimeout: 0,
            headersTimeout: ENTRY_TIMINGS.initialHeaderTimeoutMs,
            connectionsCheckingInterval: ENTRY_TIMINGS.headerTimeoutCheckIntervalMs,
            keepAliveTimeout: ENTRY_TIMINGS.initialIdleTimeoutMs,
            noDelay: true,
        }, (message, response) => {
            this.handleRequest(message, response);
        });
        this.server.on("connection", (socket: Socket) => {
            this.acceptedConnections += 1;
            socket.setTimeout(this.server.keepAliveTimeout);
            this.connections.accept(socket);
        });
        this.server.on("checkExpectation", (message: IncomingMessage, response: ServerResponse) => {
            this.handleRequest(message, response, { rejectionStatusCode: STATUS_EXPECTATION_FAILED });
        });
        watchCallerInput(this.server, {
            expects: socket => this.connections.get(socket).expectedInput,
            onIdle: socket => {
                this.connections.get(socket).close();
            },
            onUnread: socket => {
                this.connections.close("caller-response-unread", this.connections.get(socket));
            },
            onFailed: (socket, failure) => {
                this.failInput(socket, failure);
            },
        });
    }

    /** Number of open connections, including those that only wait for the caller to close its side. */
    get connectionCount(): number {
        return this.connections.size;
    }

    /** Number of requests whose headers have been read and whose response has not been sent completely. */
    get unfinishedCount(): number {
        return this.exchanges.size;
    }

    async listen(address: string): Promise<void> {
        await listenOn(this.server, address);
        this.connections.startWatching();
    }

    applyLimits(limits: CallerLimits): void {
        this.maxHeaderBytes = limits.headerBytes;
        this.maxBodyBytes = limits.bodyBytes;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs;
    }

    find(requestKey: string): OpenRequest | undefined {
        return this.exchanges.get(requestKey)?.request;
    }

    /** Stops accepting new connections. Those that wait to be accepted are accepted first, as closing resets them. */
    async stopListening(): Promise<void> {
        await acceptWaitingConnections(() => this.acceptedConnections);
        NetServer.prototype.close.call(this.server);
        this.connections.stopWatching();
    }

    /**
     * Closes idle connections, or all connections if no request is unfinished. Returns true in the latter case: no
     * further request is forwarded, so the process can exit without cutting one off.
     */
    closeIfIdle(): boolean {
        const isIdle = this.exchanges.size === 0;
        for (const connection of this.connections.all) {
            if (isIdle || connection.isIdle) {
                connection.close();
            }
        }
        return isIdle;
    }

    relay(requestKey: string, backendResponse: BufferedResponse): void {
        this.answer(requestKey, () => createRelayedReply(backendResponse));
        const { collector } = backendResponse;
        if (this.exchanges.get(requestKey)?.reply?.collector !== collector) {
            collector?.release();
        }
    }

    reject(
        requestKey: string,
        /** `isLastResponse`: whether the connection closes after the response. Default: false. */
        opts: Rejection & { readonly isLastResponse?: boolean; },
    ): void {
        const { isLastResponse = false } = opts;
        this.answer(requestKey, ({ message }) => createRejection(message, opts), { isLastResponse });
    }

    // The request is known to nobody else from here on, so every way out of this function ends it.
    private answer(
        requestKey: string,
        createReply: (exchange: CallerExchange) => CallerReply,
        opts: { readonly isLastResponse?: boolean; } = {},
    ): void {
        const exchange = this.exchanges.get(requestKey);
        if (exchange === undefined || exchange.reply !== undefined) {
            return;
        }
        let reply = BAD_GATEWAY_REPLY;
        try {
            reply = createReply(exchange);
        }
        catch (error) {
            this.opts.onFault("answer-request", error);
        }
        this.exchanges.set(requestKey, { ...exchange, reply });
        const isLastResponse = opts.isLastResponse === true || !reply.isFramed;
        exchange.connection.dispatch({ type: "response-ready", requestKey, isLastResponse });
    }

    private handleRequest(
        message: IncomingMessage,
        response: ServerResponse,
        opts: { readonly rejectionStatusCode?: number; } = {},
    ): void {
        const connection = this.connections.get(message.socket);
        const requestKey = String(this.nextRequestKey);
        this.nextRequestKey += 1;
        response.sendDate = false;
        response.on("error", () => undefined);
        response.on("finish", () => {
            this.removeExchange(requestKey);
            connection.dispatch({ type: "response-written", requestKey });
        });
        message.on("error", () => undefined);
        const reject = (rejection: Rejection): void => {
            message.resume();
            this.reject(requestKey, { ...rejection, isLastResponse: true });
        };
        const collector = new PooledBody({
            maxBytes: Math.min(this.maxBodyBytes, selectBodyBytes(message)),
            reservations: this.memory.requests,
            pool: this.blockPool,
            onExceeded: limit => {
                reject(BODY_LIMIT_REJECTIONS[limit]);
            },
        });
        this.exchanges.set(requestKey, {
            requestKey,
            connection,
            message,
            response,
            receivedAtMs: this.opts.nowMs(),
            collector,
            request: undefined,
            reply: undefined,
        });
        connection.dispatch({ type: "request-started", requestKey, isLastRequest: !response.shouldKeepAlive });
        if (!this.exchanges.has(requestKey)) {
            return;
        }
        connection.limitQuietTime(this.server.keepAliveTimeout);
        const { maxHeaderBytes, maxBodyBytes } = this;
        const { maxRequests = Infinity } = this.opts;
        const requestCount = this.exchanges.size;
        const refusal = selectHeadRefusal(message, { maxHeaderBytes, maxBodyBytes, maxRequests, requestCount });
        if (refusal?.limit !== undefined) {
            this.connections.report(refusal.limit, connection, { requestId: selectRequestId(message) });
        }
        const statusCode = opts.rejectionStatusCode ?? refusal?.statusCode;
        if (statusCode !== undefined) {
            reject({ ...refusal, statusCode });
            return;
        }
        receiveBody(message, {
            response,
            connection,
            body: collector,
            memory: this.memory,
            pacer: this.pacer,
            nowMs: this.opts.nowMs,
            maxBodyBytes,
            idleTimeoutMs: this.server.keepAliveTimeout,
            onFailed: failure => this.failInput(message.socket, failure),
        });
        message.on("end", () => {
            connection.onRequestRead(requestKey);
            this.completeRequest(requestKey);
        });
    }

    private completeRequest(requestKey: string): void {
        const exchange = this.exchanges.get(requestKey);
        if (exchange === undefined || exchange.reply !== undefined) {
            return;
        }
        const { connection, message, collector } = exchange;
        const hasBody = collector.byteCount > 0 || message.headers["content-length"] !== undefined;
        const body = collector.complete();
        const request: OpenRequest = {
            requestKey,
            requestId: selectRequestId(message),
            message,
            body: hasBody ? body : undefined,
            retainBody: () => collector.retain(),
            hasFollowers: () => connection.hasFollowers(requestKey),
        };
        this.exchanges.set(requestKey, { ...exchange, request });
        connection.dispatch({ type: "request-read", requestKey });
    }

    /** Reads nothing more from a connection. All accepted requests are answered before the failure is. */
    private failInput(socket: Socket, failure: InputFailure): void {
        const connection = this.connections.get(socket);
        const newest = this.exchanges.get(connection.newestRequestKey ?? "");
        const partial = newest?.message.complete === false ? newest : undefined;
        const isExpected = connection.isClosing && partial === undefined;
        discardInput(socket, { onDiscarded: bytes => this.memory.noteDiscarded(bytes) });
        partial?.collector.release();
        if (isExpected) {
            return;
        }
        this.opts.onInputRefused(failure, {
            peer: `${socket.remoteAddress}:${socket.remotePort}`,
            ...partial === undefined ? {} : { requestId: selectRequestId(partial.message) },
            requestIdsInProgress: connection.requestKeys.flatMap(requestKey => {
                const exchange = this.exchanges.get(requestKey);
                return exchange === undefined || exchange === partial ? [] : [selectRequestId(exchange.message)];
            }),
        });
        const { statusCode } = failure;
        connection.dispatch({ type: "input-failed", requestKey: partial?.requestKey, statusCode });
        if (connection.expectedInput === "reading") {
            connection.limitQuietTime(this.server.keepAliveTimeout);
        }
    }

    /** Executes an effect. One that fails still ends in a response, as the requests behind it wait for it. */
    private run(effect: PipelineEffect, connection: CallerConnection): void {
        if (effect.type === "write-error") {
            connection.closeWithError(effect.statusCode);
            return;
        }
        const exchange = this.exchanges.get(effect.requestKey);
        if (exchange === undefined) {
            return;
        }
        try {
            this.execute(effect, exchange);
        }
        catch (error) {
            this.opts.onFault(effect.type, error);
            if (effect.type === "write-response") {
                this.writer.writeBadGateway(exchange.response);
            }
            else {
                this.answer(effect.requestKey, () => BAD_GATEWAY_REPLY);
            }
        }
    }

    private execute(effect: RequestEffect, exchange: CallerExchange): void {
        const { requestKey } = effect;
        switch (effect.type) {
            case "reject-request":
                this.reject(requestKey, { statusCode: effect.statusCode, isLastResponse: true });
                return;
            case "forward-request":
                this.forward(exchange);
                return;
            case "write-response":
                this.writeResponse(exchange, { isLastResponse: effect.isLastResponse });
                return;
            case "ignore-request":
                exchange.message.resume();
                this.removeExchange(requestKey);
                return;
            case "abandon-request":
                this.removeExchange(requestKey);
                if (exchange.request !== undefined && exchange.reply === undefined) {
                    this.opts.onCallerLeft(requestKey);
                }
                return;
        }
    }

    private forward({ requestKey, connection, request, message, receivedAtMs }: CallerExchange): void {
        if (request === undefined) {
            return;
        }
        const { onRequest, isIdempotent } = this.opts;
        onRequest(request, receivedAtMs, decodeCallerRequestHead(message.headers).deadlineMs);
        connection.dispatch({ type: "request-forwarded", requestKey, isIdempotent: isIdempotent(requestKey) });
    }

    private writeResponse(exchange: CallerExchange, opts: { readonly isLastResponse: boolean; }): void {
        this.writer.write(exchange, { ...opts, idleTimeoutMs: this.server.keepAliveTimeout });
    }

    // What was written may still be on its way to the operating system, so its buffers are not used again.
    private yieldMemory({ connection }: CallerExchange): void {
        for (const requestKey of connection.requestKeys) {
            this.exchanges.get(requestKey)?.reply?.collector?.forfeit();
        }
        connection.destroy();
    }

    private removeExchange(requestKey: string): void {
        const exchange = this.exchanges.get(requestKey);
        exchange?.collector.release();
        exchange?.reply?.collector?.release();
        this.exchanges.delete(requestKey);
    }
}
