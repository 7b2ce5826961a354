import { watchResponseEnd } from "@marigoldstall/core.http-body";
import type { LoadReport, ServerDirectives } from "@marigoldstall/core.types";
import {
    announcesForbiddenBody,
    type BackendConnection,
    type BackendPool,
    type Clock,
    endToEndHeaders,
    findHeadFault,
    limitInterimResponses,
    withoutForbiddenLength,
} from "@marigoldstall/daemon.connections";
import {
    CALLER_IDENTITY_HEADERS,
    decodeServerResponseHead,
    encodeAttemptHeaders,
    INTERNAL_HEADERS,
    type ServerResponseHead,
} from "@marigoldstall/platform.adapter";
import type { DispatchEffect } from "@marigoldstall/routing.dispatch";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { BlockPool } from "./block-pool.js";
import type { BodyBytes } from "./body-bytes.js";
import type { BufferedResponse } from "./buffered-response.js";
import type { CallerMemory } from "./caller-memory.js";
import { collectPacedBody } from "./collect-paced-body.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import { listSegments } from "./list-segments.js";
import type { OpenRequest } from "./open-request.js";
import type { PiecePacer } from "./piece-pacer.js";
import { PooledBody } from "./pooled-body.js";

type StartAttempt = Extract<DispatchEffect, { readonly type: "start-attempt"; }>;

// Responses are buffered until they are complete, so that a truncated one can still be retried. Larger ones fail.
const MAX_RESPONSE_BYTES = 16 * 1_024 * 1_024;
const FIRST_NON_SUCCESS_STATUS = 300;

interface ServerAttemptOptions {
    readonly effect: StartAttempt;
    readonly request: OpenRequest;
    readonly pool: BackendPool;
    readonly clock: Clock;
    readonly memory: CallerMemory;
    readonly pacer: PiecePacer;
    readonly blockPool: BlockPool;
    /** Called for each well-formed response head, also of a response that fails the attempt. */
    readonly onHead?: (head: ServerResponseHead) => void;
    readonly onResponse: (result: {
        readonly bufferedResponse: BufferedResponse;
        readonly notRun: boolean;
        readonly load: LoadReport | undefined;
        readonly directives: ServerDirectives | undefined;
    }) => void;
    readonly onFailed: (failure: "unsent" | "lost", reason: string, details: {
        readonly directives: ServerDirectives | undefined;
        readonly isConnectionBroken: boolean;
    }) => void;
}

/** One attempt to send a request to a backend server. */
export class ServerAttempt {
    private readonly opts: ServerAttemptOptions;
    private connection: BackendConnection | undefined;
    private cancelAcquire = (): void => undefined;
    private response: IncomingMessage | undefined;
    private body: PooledBody | undefined;
    /** What the server asked of its callers in the response to this request. */
    private directives: ServerDirectives | undefined;
    private isSettled = false;
    private outgoing: ClientRequest | undefined;
    /** Called once nothing can write the body of the request any more. */
    private readonly releaseRequestBody: () => void;

    constructor(opts: ServerAttemptOptions) {
        this.opts = opts;
        this.releaseRequestBody = opts.request.retainBody?.() ?? (() => undefined);
    }

    start(): void {
        // The response to a request without an id can only be told by its connection.
        this.acquire(this.opts.request.requestId === "" ? "new" : "any");
    }

    private acquire(mode: "any" | "new"): void {
        this.cancelAcquire = this.opts.pool.acquire({
            mode,
            onFailed: () => {
                this.fail("unsent", "connect-failed");
            },
            onReady: connection => {
                this.send(connection);
            },
        });
    }

    /** Cancels the attempt and closes its connection to the server. */
    cancel(): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.cancelAcquire();
            this.connection?.destroy();
            this.onSettled();
        }
    }

    private onSettled(): void {
        this.body?.release();
        if (this.outgoing === undefined) {
            this.releaseRequestBody();
        }
    }

    private send(connection: BackendConnection): void {
        const { effect, request, pool, clock } = this.opts;
        if (this.isSettled) {
            pool.release(connection);
            return;
        }
        const remainingMs = Math.floor(effect.deadlineAtMs - clock.atMs());
        if (remainingMs <= 0) {
            pool.release(connection);
            this.fail("unsent", "deadline-passed");
            return;
        }
        if (connection.hasRefused(request.requestId)) {
            connection.destroy();
            this.acquire("new");
            return;
        }
        this.connection = connection;
        connection.expectResponse(() => this.response?.complete === true);
        let outgoing: ClientRequest;
        try {
            outgoing = this.createRequest(connection, remainingMs);
        }
        catch (error) {
            // Nothing was sent, but the connection is reserved.
            connection.destroy();
            this.fail("unsent", `request: ${String(error)}`);
            return;
        }

        this.outgoing = outgoing;
        // The connection may go on writing the body after the attempt was settled.
        outgoing.on("close", this.releaseRequestBody);
        outgoing.on("response", response => {
            this.handleResponse(response);
        });
        limitInterimResponses(outgoing, () => {
            this.failAsLost("too-many-interim-responses");
        });
        outgoing.on("close", () => {
            // Node.js closes the connection without an error after a response that switches protocols.
            if (this.response === undefined) {
                this.failAsLost("connection: closed without a response", { isConnectionBroken: true });
            }
        });
        outgoing.on("error", error => {
            this.failAsLost(`connection: ${error.message}`, { isConnectionBroken: true });
        });
        const segments = request.body === undefined ? [] : listSegments(request.body);
        segments.slice(0, -1).forEach(segment => {
            outgoing.write(segment);
        });
        outgoing.end(segments.at(-1));
    }

    private createRequest(connection: BackendConnection, remainingMs: number): ClientRequest {
        const { request: { message, body }, effect: { instanceId, tenantName, hidesApiKey } } = this.opts;
        return httpRequest({
            agent: connection.agent,
            method: message.method,
            path: message.url,
            headers: [
                ...endToEndHeaders(message.rawHeaders, {
                    connection: message.headers.connection,
                    excluded: hidesApiKey ? CALLER_IDENTITY_HEADERS : INTERNAL_HEADERS,
                }),
                ...encodeAttemptHeaders({
                    remainingMs,
                    instanceId,
                    bodyBytes: body?.length,
                    tenantName: hidesApiKey ? tenantName : undefined,
                }),
            ],
            setHost: false,
        });
    }

    private handleResponse(response: IncomingMessage): void {
        const { requestId } = this.opts.request;
        this.response = response;
        const headFault = findHeadFault(response);
        if (headFault !== undefined) {
            this.failAsLost(headFault);
            return;
        }
        const statusCode = response.statusCode ?? 0;
        const head = decodeServerResponseHead(statusCode, response.headers);
        this.opts.onHead?.(head);
        if (head.requestId === requestId) {
            this.directives = head.directives;
        }
        // A late or duplicate response may belong to another request. A server that cannot parse a request refuses it
        // without its id; on a connection that was used before, that may be a copy of an earlier refusal.
        const isRefusalWithoutId = head.requestId === undefined && head.notRun
            && this.connection?.isFirstExchange === true;
        if (head.requestId !== requestId && !isRefusalWithoutId) {
            this.failAsLost("response-of-another-request");
            return;
        }
        if (statusCode < FIRST_NON_SUCCESS_STATUS && !head.hasServerStamp) {
            this.failAsLost("response-without-signature");
            return;
        }
        if (this.connection !== undefined && head.keepAliveMs !== undefined) {
            this.connection.keepAliveMs = Math.max(0, head.keepAliveMs - ENTRY_TIMINGS.keepAliveMarginMs);
        }
        if (head.notRun) {
            this.connection?.addRefusal(requestId);
        }
        if (announcesForbiddenBody(response)) {
            this.connection?.destroy();
            this.complete(response, { head, body: Buffer.alloc(0), isConnectionEnd: false });
            return;
        }
        const { memory, pacer, blockPool, clock } = this.opts;
        const collector = new PooledBody({
            maxBytes: MAX_RESPONSE_BYTES,
            reservations: memory.responses,
            pool: blockPool,
            onExceeded: limit => {
                this.failAsLost(limit === "body-size" ? "response-too-large" : "responses-too-large");
            },
        });
        this.body = collector;
        collectPacedBody(response, collector, {
            pacer,
            nowMs: clock.atMs,
            onPiece: bytes => {
                memory.noteReceived(collector, bytes);
            },
        });
        watchResponseEnd(response, {
            onComplete: ({ isConnectionEnd }) => {
                if (!this.isSettled) {
                    this.complete(response, { head, body: collector.complete(), collector, isConnectionEnd });
                }
            },
            onCut: reason => {
                this.failAsLost(reason, { isConnectionBroken: true });
            },
        });
    }

    private complete(
        response: IncomingMessage,
        opts: {
            readonly head: ServerResponseHead;
            readonly body: BodyBytes;
            /** Holds the memory of the body. */
            readonly collector?: PooledBody;
            /** Whether the end of the connection delimits the body. */
            readonly isConnectionEnd: boolean;
        },
    ): void {
        this.isSettled = true;
        const { statusCode = 0, headers } = response;
        const { head, body, collector, isConnectionEnd } = opts;
        const bufferedResponse = {
            statusCode,
            rawHeaders: withoutForbiddenLength(response),
            connectionHeader: headers.connection,
            body,
            ...collector === undefined ? {} : { collector },
            isFramed: !isConnectionEnd
                && (headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined),
        };
        // Node.js frees the connection in a callback that it queued before this one.
        process.nextTick(() => {
            this.opts.onResponse({
                bufferedResponse,
                notRun: head.notRun,
                load: head.load,
                directives: this.directives,
            });
        });
    }

    private failAsLost(reason: string, opts: { readonly isConnectionBroken?: boolean; } = {}): void {
        this.connection?.destroy();
        this.fail("lost", reason, opts);
    }

    private fail(
        failure: "unsent" | "lost",
        reason: string,
        opts: { readonly isConnectionBroken?: boolean; } = {},
    ): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.onSettled();
            const { isConnectionBroken = false } = opts;
            this.opts.onFailed(failure, reason, { directives: this.directives, isConnectionBroken });
        }
    }
}
