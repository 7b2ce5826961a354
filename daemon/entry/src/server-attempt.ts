import type { LoadReport } from "@marigoldstall/core.types";
import {
    type BackendConnection,
    type BackendPool,
    type Clock,
    endToEndHeaders,
} from "@marigoldstall/daemon.connections";
import { decodeServerResponseHead, encodeAttemptHeaders, OWN_HEADERS } from "@marigoldstall/platform.adapter";
import type { DispatchEffect } from "@marigoldstall/routing.dispatch";
import { type IncomingMessage, request as httpRequest } from "node:http";
import { ENTRY_LIMITS } from "./entry-limits.js";
import type { OpenRequest } from "./open-request.js";
import type { ServerResponseWhole } from "./server-response-whole.js";

type StartAttempt = Extract<DispatchEffect, { readonly type: "start-attempt"; }>;

// Responses are held until they are whole, so that one that is cut can still be replaced. Larger ones are refused.
const MAX_RESPONSE_BYTES = 16 * 1_024 * 1_024;
const FIRST_FAILURE_STATUS = 300;

interface ServerAttemptOptions {
    readonly effect: StartAttempt;
    readonly request: OpenRequest;
    readonly pool: BackendPool;
    readonly clock: Clock;
    readonly onAnswered: (answer: {
        readonly whole: ServerResponseWhole;
        readonly notRun: boolean;
        readonly load: LoadReport | undefined;
    }) => void;
    readonly onFailed: (failure: "unsent" | "lost", reason: string) => void;
}

/** One sending of a request to a backend server. */
export class ServerAttempt {
    private readonly opts: ServerAttemptOptions;
    private connection: BackendConnection | undefined;
    private abandonConnect = (): void => undefined;
    private response: IncomingMessage | undefined;
    private isOver = false;

    constructor(opts: ServerAttemptOptions) {
        this.opts = opts;
    }

    start(): void {
        this.abandonConnect = this.opts.pool.acquire({
            mode: "any",
            onFailed: () => {
                this.fail("unsent", "connect-failed");
            },
            onReady: connection => {
                this.send(connection);
            },
        });
    }

    /** Ends the attempt; the server sees its connection closed. */
    cancel(): void {
        if (!this.isOver) {
            this.isOver = true;
            this.abandonConnect();
            this.connection?.destroy();
        }
    }

    private send(connection: BackendConnection): void {
        const { effect, request, pool, clock } = this.opts;
        if (this.isOver) {
            pool.release(connection);
            return;
        }
        const remainingMs = Math.floor(effect.deadlineAtMs - clock.atMs());
        if (remainingMs <= 0) {
            pool.release(connection);
            this.fail("unsent", "deadline-passed");
            return;
        }
        this.connection = connection;
        connection.expectResponse(() => this.response?.complete === true);
        const { message, body } = request;
        const outgoing = httpRequest({
            agent: connection.agent,
            method: message.method,
            path: message.url,
            headers: [
                ...endToEndHeaders(message.rawHeaders, {
                    connection: message.headers.connection,
                    excluded: OWN_HEADERS,
                }),
                ...encodeAttemptHeaders({ remainingMs, instanceId: effect.instanceId, bodyBytes: body?.length }),
            ],
            setHost: false,
        });
        outgoing.on("response", response => {
            this.receive(response);
        });
        outgoing.on("error", error => {
            this.lose(`connection: ${error.message}`);
        });
        outgoing.end(body);
    }

    private receive(response: IncomingMessage): void {
        const { requestId } = this.opts.request;
        this.response = response;
        const statusCode = response.statusCode ?? 0;
        const head = decodeServerResponseHead(statusCode, response.headers);
        // A response to another request may come late or twice. One without an id is not the server's own, except
        // that a server that could not read a request cannot repeat its id.
        if (head.requestId !== requestId && !(head.requestId === undefined && head.notRun)) {
            this.lose("response-of-another-request");
            return;
        }
        if (statusCode < FIRST_FAILURE_STATUS && !head.isSigned) {
            this.lose("response-without-signature");
            return;
        }
        if (this.connection !== undefined && head.keepAliveMs !== undefined) {
            this.connection.keepAliveMs = Math.max(0, head.keepAliveMs - ENTRY_LIMITS.keepAliveMarginMs);
        }
        const chunks: Buffer[] = [];
        let bodyBytes = 0;
        response.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            bodyBytes += chunk.length;
            if (bodyBytes > MAX_RESPONSE_BYTES) {
                this.lose("response-too-large");
            }
        });
        response.on("error", error => {
            this.lose(`response: ${error.message}`);
        });
        response.on("close", () => {
            if (!response.complete) {
                this.lose("response-cut");
            }
        });
        response.on("end", () => {
            if (this.isOver || !response.complete) {
                return;
            }
            this.isOver = true;
            const { rawHeaders, headers } = response;
            const body = Buffer.concat(chunks);
            const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
            const whole = { statusCode, rawHeaders, connection: headers.connection, body, isFramed };
            this.opts.onAnswered({ whole, notRun: head.notRun, load: head.load });
        });
    }

    private lose(reason: string): void {
        this.connection?.destroy();
        this.fail("lost", reason);
    }

    private fail(failure: "unsent" | "lost", reason: string): void {
        if (!this.isOver) {
            this.isOver = true;
            this.opts.onFailed(failure, reason);
        }
    }
}
