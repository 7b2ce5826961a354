import type { CallerLimits } from "@marigoldstall/core.types";
import { endToEndHeaders } from "@marigoldstall/daemon.connections";
import { listenOn } from "@marigoldstall/fleet.rpc";
import { decodeCallerHead, encodeRejectionHeaders, OWN_HEADERS } from "@marigoldstall/platform.adapter";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { ENTRY_LIMITS } from "./entry-limits.js";
import type { OpenRequest } from "./open-request.js";
import type { ServerResponseWhole } from "./server-response-whole.js";

// Limits until a configuration says otherwise. Node.js cannot change the first one later, so that it is an upper bound
// for the configured one as well.
const MAX_HEADER_BYTES = 65_536;
const INITIAL_MAX_BODY_BYTES = 8 * 1_024 * 1_024;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;

const countHeaderBytes = (message: IncomingMessage): number =>
    message.rawHeaders.reduce((bytes, text) => bytes + text.length, message.url?.length ?? 0);

interface CallerPortOptions {
    readonly isStopping: () => boolean;
    readonly atMs: () => number;
    readonly onRequest: (request: OpenRequest, receivedAtMs: number, deadlineMs: number | undefined) => void;
    readonly onLeft: (requestKey: string) => void;
}

/** The port on which callers send requests. */
export class CallerPort {
    private readonly opts: CallerPortOptions;
    private readonly server: Server;
    private readonly open = new Map<string, OpenRequest>();
    /** Newest request of each connection that is being answered. */
    private readonly newest = new WeakMap<Socket, string>();
    /** Connections that close after an answer already written. */
    private readonly closing = new WeakSet<Socket>();
    private maxHeaderBytes = MAX_HEADER_BYTES;
    private maxBodyBytes = INITIAL_MAX_BODY_BYTES;
    private unfinished = 0;
    private nextKey = 1;

    constructor(opts: CallerPortOptions) {
        this.opts = opts;
        this.server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            requireHostHeader: false,
            requestTimeout: 0,
            keepAliveTimeout: ENTRY_LIMITS.initialIdleTimeoutMs,
            noDelay: true,
        }, (message, response) => {
            this.receive(message, response);
        });
    }

    /** Requests that were read at least in part and have no whole answer yet. */
    get unfinishedCount(): number {
        return this.unfinished;
    }

    async listen(address: string): Promise<void> {
        await listenOn(this.server, address);
    }

    applyLimits(limits: CallerLimits): void {
        this.maxHeaderBytes = limits.headerBytes;
        this.maxBodyBytes = limits.bodyBytes;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs + ENTRY_LIMITS.initialIdleTimeoutMs;
    }

    find(requestKey: string): OpenRequest | undefined {
        return this.open.get(requestKey);
    }

    /** Takes no new connections. */
    stopListening(): void {
        NetServer.prototype.close.call(this.server);
    }

    /**
     * Closes the connections on which nothing is unfinished, and all of them once nothing is. Returns whether that is so:
     * no request is read any more then, which the end of the process would cut.
     */
    closeIfFinished(): boolean {
        if (this.unfinished > 0) {
            this.server.closeIdleConnections();
            return false;
        }
        // Node.js does not call a connection idle that has not carried a request yet.
        this.server.closeAllConnections();
        return true;
    }

    relay(requestKey: string, whole: ServerResponseWhole): void {
        const request = this.take(requestKey);
        if (request === undefined) {
            return;
        }
        const headers = endToEndHeaders(whole.rawHeaders, { connection: whole.connection, excluded: OWN_HEADERS });
        if (whole.isFramed) {
            headers.push("Content-Length", String(whole.body.length));
        }
        else {
            // Only the backend server knows whether its response was cut. With a length added, a cut one would look
            // whole; so it ends with the connection here too.
            request.response.useChunkedEncodingByDefault = false;
            request.response.shouldKeepAlive = false;
            this.closing.add(request.message.socket);
        }
        this.finish(request, { statusCode: whole.statusCode, headers, body: whole.body });
    }

    reject(
        requestKey: string,
        opts: { readonly statusCode: number; readonly retryAfterMs: number | undefined; },
    ): void {
        const request = this.take(requestKey);
        if (request !== undefined) {
            const headers = encodeRejectionHeaders({
                requestId: request.requestId,
                retryAfterMs: opts.retryAfterMs,
            });
            this.finish(request, { statusCode: opts.statusCode, headers, body: undefined });
        }
    }

    private receive(message: IncomingMessage, response: ServerResponse): void {
        const receivedAtMs = this.opts.atMs();
        const { socket } = message;
        const hasEarlier = this.open.has(this.newest.get(socket) ?? "");
        if (this.closing.has(socket) || (this.opts.isStopping() && hasEarlier)) {
            // The connection closes after the answer to an earlier request, and the caller sends this one again.
            message.resume();
            return;
        }
        const requestKey = String(this.nextKey);
        this.nextKey += 1;
        this.newest.set(socket, requestKey);
        const chunks: Buffer[] = [];
        let bodyBytes = 0;
        this.unfinished += 1;
        response.sendDate = false;
        response.on("error", () => undefined);
        response.on("close", () => {
            this.unfinished -= 1;
            if (this.take(requestKey) !== undefined) {
                this.opts.onLeft(requestKey);
            }
        });
        message.on("error", () => undefined);
        const refuse = (statusCode: number): void => {
            message.removeAllListeners("data");
            message.resume();
            response.shouldKeepAlive = false;
            this.closing.add(socket);
            response.writeHead(statusCode, { "Content-Length": 0 });
            response.end();
        };
        if (countHeaderBytes(message) > this.maxHeaderBytes) {
            refuse(STATUS_HEADERS_TOO_LARGE);
            return;
        }
        message.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            bodyBytes += chunk.length;
            if (bodyBytes > this.maxBodyBytes && !response.headersSent) {
                refuse(STATUS_BODY_TOO_LARGE);
            }
        });
        message.on("end", () => {
            if (response.headersSent || response.destroyed) {
                return;
            }
            const { requestId, deadlineMs } = decodeCallerHead(message.headers);
            const hasBody = bodyBytes > 0 || message.headers["content-length"] !== undefined;
            const body = hasBody ? Buffer.concat(chunks) : undefined;
            const request = { requestKey, requestId, message, response, body };
            this.open.set(requestKey, request);
            this.opts.onRequest(request, receivedAtMs, deadlineMs);
        });
    }

    private take(requestKey: string): OpenRequest | undefined {
        const request = this.open.get(requestKey);
        this.open.delete(requestKey);
        return request;
    }

    private finish(request: OpenRequest, answer: {
        readonly statusCode: number;
        readonly headers: string[];
        readonly body: Buffer | undefined;
    }): void {
        const { response, message } = request;
        if (response.destroyed) {
            return;
        }
        // A connection on which further requests wait must not be closed before their answers.
        if (this.opts.isStopping() && this.newest.get(message.socket) === request.requestKey) {
            response.shouldKeepAlive = false;
            this.closing.add(message.socket);
        }
        response.writeHead(answer.statusCode, answer.headers);
        response.end(answer.body);
    }
}
