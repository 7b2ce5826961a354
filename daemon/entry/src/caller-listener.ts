import { BodyBudget, BodyCollector, type BodyLimit, collectBody } from "@marigoldstall/core.http-body";
import type { CallerLimits } from "@marigoldstall/core.types";
import { endToEndHeaders } from "@marigoldstall/daemon.connections";
import { listenOn } from "@marigoldstall/fleet.rpc";
import { decodeCallerRequestHead, INTERNAL_HEADERS } from "@marigoldstall/platform.adapter";
import type { PipelineEffect } from "@marigoldstall/requests.pipeline";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { acceptWaitingConnections } from "./accept-waiting-connections.js";
import type { BufferedResponse } from "./buffered-response.js";
import { CallerConnection } from "./caller-connection.js";
import type { CallerExchange } from "./caller-exchange.js";
import type { CallerReply } from "./caller-reply.js";
import { createRejection } from "./create-rejection.js";
import { discardInput } from "./discard-input.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import type { InputFailure } from "./input-failure.js";
import type { OpenRequest } from "./open-request.js";
import { selectHeadError } from "./select-head-error.js";
import { watchCallerInput } from "./watch-caller-input.js";
import { writeReply } from "./write-reply.js";

interface Rejection {
    readonly statusCode: number;
    readonly retryAfterMs?: number | undefined;
}

// Limits that apply until a configuration is active. Node.js cannot change `maxHeaderSize` after the server is created,
// so MAX_HEADER_BYTES also caps the configured header limit.
const MAX_HEADER_BYTES = 65_536;
const INITIAL_MAX_BODY_BYTES = 8 * 1_024 * 1_024;
// The smallest VMs have 250 MB, of which the process needs about 60 MB without any request.
const MAX_BODIES_BYTES = 64 * 1_024 * 1_024;
const STATUS_EXPECTATION_FAILED = 417;
const STATUS_BAD_GATEWAY = 502;

const BODY_LIMIT_REJECTIONS: Readonly<Record<BodyLimit, Rejection>> = {
    "body-size": { statusCode: 413 },
    "total-size": { statusCode: 503, retryAfterMs: 500 },
};

// Answers a request whose response cannot be sent. The status promises nothing, as the request may have run.
const BAD_GATEWAY_REPLY: CallerReply = {
    statusCode: STATUS_BAD_GATEWAY,
    headers: ["Content-Length", "0"],
    body: undefined,
    isFramed: true,
};

type RequestEffect = Exclude<PipelineEffect, { readonly type: "write-error"; }>;

const selectRequestId = (message: IncomingMessage): string => decodeCallerRequestHead(message.headers).requestId;

interface CallerListenerOptions {
    readonly isStopping: () => boolean;
    readonly nowMs: () => number;
    /** Whether a request that was passed on may run again. Called right after `onRequest`. */
    readonly isIdempotent: (requestKey: string) => boolean;
    readonly onRequest: (request: OpenRequest, receivedAtMs: number, deadlineMs: number | undefined) => void;
    readonly onCallerLeft: (requestKey: string) => void;
    /** Called when a caller sent something that is no request, or sent it too slowly. */
    readonly onInputRefused: (failure: InputFailure, fields: Readonly<Record<string, unknown>>) => void;
    /** Called when a response could not be sent as it should. */
    readonly onFault: (step: string, error: unknown) => void;
}

/** HTTP listener for callers' requests. */
export class CallerListener {
    private readonly opts: CallerListenerOptions;
    private readonly server: Server;
    private readonly bodyBudget = new BodyBudget({ maxBytes: MAX_BODIES_BYTES });
    private readonly exchanges = new Map<string, CallerExchange>();
    private readonly connections = new Map<Socket, CallerConnection>();
    private maxHeaderBytes = MAX_HEADER_BYTES;
    private maxBodyBytes = INITIAL_MAX_BODY_BYTES;
    private nextRequestKey = 1;
    private acceptedConnections = 0;

    constructor(opts: CallerListenerOptions) {
        this.opts = opts;
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
            this.connection(socket);
            socket.setTimeout(this.server.keepAliveTimeout);
        });
        this.server.on("checkExpectation", (message: IncomingMessage, response: ServerResponse) => {
            this.handleRequest(message, response, { rejectionStatusCode: STATUS_EXPECTATION_FAILED });
        });
        watchCallerInput(this.server, {
            expects: socket => this.connection(socket).expectedInput,
            onIdle: socket => {
                this.connection(socket).close();
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
    }

    /**
     * Closes idle connections, or all connections if no request is unfinished. Returns true in the latter case: no
     * further request is forwarded, so the process can exit without cutting one off.
     */
    closeIfIdle(): boolean {
        const isIdle = this.exchanges.size === 0;
        for (const connection of this.connections.values()) {
            if (isIdle || connection.isIdle) {
                connection.close();
            }
        }
        return isIdle;
    }

    relay(requestKey: string, backendResponse: BufferedResponse): void {
        this.answer(requestKey, () => {
            const { statusCode, rawHeaders, connectionHeader, body, isFramed } = backendResponse;
            const headers = endToEndHeaders(rawHeaders, { connection: connectionHeader, excluded: INTERNAL_HEADERS });
            // Only the backend server knows whether a response without a length was truncated. An added Content-Length
            // would make a truncated one look complete, so the end of the connection delimits the body here as well.
            return {
                statusCode,
                headers: isFramed ? [...headers, "Content-Length", String(body.length)] : headers,
                body,
                isFramed,
            };
        });
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
        const connection = this.connection(message.socket);
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
        const collector = new BodyCollector({
            maxBytes: this.maxBodyBytes,
            budget: this.bodyBudget,
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
        connection.limitBodyTime(this.server.keepAliveTimeout);
        const statusCode = opts.rejectionStatusCode
            ?? selectHeadError(message, { maxHeaderBytes: this.maxHeaderBytes });
        if (statusCode !== undefined) {
            reject({ statusCode });
            return;
        }
        collectBody(message, collector);
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
        const request: OpenRequest = {
            requestKey,
            requestId: selectRequestId(message),
            message,
            body: hasBody ? collector.complete() : undefined,
            hasFollowers: () => connection.hasFollowers(requestKey),
        };
        this.exchanges.set(requestKey, { ...exchange, request });
        connection.dispatch({ type: "request-read", requestKey });
    }

    private connection(socket: Socket): CallerConnection {
        let connection = this.connections.get(socket);
        if (connection === undefined) {
            const opened = new CallerConnection({
                socket,
                nowMs: this.opts.nowMs,
                isStopping: this.opts.isStopping,
                execute: effect => {
                    this.run(effect, opened);
                },
            });
            connection = opened;
            this.connections.set(socket, connection);
            socket.once("close", () => {
                this.connections.delete(socket);
            });
        }
        return connection;
    }

    /** Reads nothing more from a connection. All accepted requests are answered before the failure is. */
    private failInput(socket: Socket, failure: InputFailure): void {
        const connection = this.connection(socket);
        const newest = this.exchanges.get(connection.newestRequestKey ?? "");
        const partial = newest?.message.complete === false ? newest : undefined;
        const isExpected = connection.isClosing && partial === undefined;
        discardInput(socket);
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
                this.writeBadGateway(exchange.response);
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
        const { response, message, reply = BAD_GATEWAY_REPLY } = exchange;
        if (response.destroyed || message.socket.destroyed) {
            return;
        }
        if (opts.isLastResponse) {
            response.shouldKeepAlive = false;
        }
        writeReply(response, reply);
    }

    private writeBadGateway(response: ServerResponse): void {
        try {
            writeReply(response, BAD_GATEWAY_REPLY);
        }
        catch (error) {
            this.opts.onFault("answer-request", error);
            response.destroy();
        }
    }

    private removeExchange(requestKey: string): void {
        this.exchanges.get(requestKey)?.collector.release();
        this.exchanges.delete(requestKey);
    }
}
