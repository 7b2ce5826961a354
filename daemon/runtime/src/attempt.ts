import {
    announcesForbiddenBody,
    type BackendConnection,
    type BackendPool,
    type Clock,
    findHeadFault,
    limitInterimResponses,
    singleHeader,
} from "@marigoldstall/daemon.connections";
import type { RoutingEffect } from "@marigoldstall/routing.state";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { AttemptListener } from "./attempt-listener.js";
import type { CallerRequest } from "./caller-request.js";
import { createAttemptHeaders } from "./create-attempt-headers.js";
import { endsWithConnection } from "./ends-with-connection.js";
import { relayResponse } from "./relay-response.js";

type StartAttempt = Extract<RoutingEffect, { readonly type: "start-attempt"; }>;

// Below the 1 s for which routing waits for the result of a cancellation.
const CANCELLATION_TIMEOUT_MS = 900;
// Responses up to this size are buffered and relayed once they are complete. A truncated one can then be retried or
// replaced by an error with the outcome, instead of reaching the caller truncated.
const MAX_BUFFERED_RESPONSE_BYTES = 65_536;

/** One attempt to send a caller's request to a backend server. */
export class Attempt {
    readonly effect: StartAttempt;
    readonly request: CallerRequest;
    readonly pool: BackendPool;
    sentAtMs: number | undefined;
    /** When the request, including its body, was completely written to the connection. */
    private fullySentAtMs: number | undefined;
    response: IncomingMessage | undefined;
    /** Whether a check of the silent connection was requested. */
    checkRequested = false;
    private readonly clock: Clock;
    private readonly listener: AttemptListener;
    private connection: BackendConnection | undefined;
    private outgoing: ClientRequest | undefined;
    private instanceIdAtSend: string | undefined;
    private cancelAcquire = (): void => undefined;
    private ended = false;
    private relayed = false;
    /** Body of a short response, buffered until it is complete. */
    private bufferedChunks: Buffer[] | undefined;
    /** Whether the response is complete although Node.js expects a body. */
    private endsWithHead = false;

    constructor(opts: {
        readonly effect: StartAttempt;
        readonly request: CallerRequest;
        readonly pool: BackendPool;
        readonly clock: Clock;
        readonly listener: AttemptListener;
    }) {
        this.effect = opts.effect;
        this.request = opts.request;
        this.pool = opts.pool;
        this.clock = opts.clock;
        this.listener = opts.listener;
    }

    /** Whether the request was sent and no response has started. */
    get awaitsResponse(): boolean {
        return !this.ended && this.sentAtMs !== undefined && this.response === undefined;
    }

    /** Time without a received byte since the request was completely sent; 0 if bytes have arrived since the send. */
    silentMs(nowMs: number): number {
        if (!this.awaitsResponse || this.fullySentAtMs === undefined) {
            return 0;
        }
        const silent = (this.connection?.lastReceivedAtMs ?? 0) <= (this.sentAtMs ?? 0);
        return silent ? nowMs - this.fullySentAtMs : 0;
    }

    /** Whether the response has stalled past the deadline while the caller can accept more data. */
    isStalled(nowMs: number): boolean {
        return !this.ended && this.relayed && this.response?.isPaused() === false
            && nowMs >= this.request.deadlineAtMs
            && nowMs - (this.connection?.lastReceivedAtMs ?? nowMs) >= this.effect.silenceLimitMs;
    }

    /** Fails a stalled attempt. */
    closeStalled(): void {
        this.failAfterSend("body-cut");
    }

    start(): void {
        this.cancelAcquire = this.pool.acquire({
            mode: this.effect.requireLiveConnection ? "fresh" : "any",
            onFailed: () => {
                this.end(() => {
                    this.listener.onFailed(this, "connect-failed");
                });
            },
            onReady: connection => {
                this.send(connection);
            },
        });
    }

    /** Relays the response to the caller. */
    relay(): void {
        if (this.response === undefined || this.ended) {
            return;
        }
        this.relayed = true;
        relayResponse(this.request, {
            serverResponse: this.response,
            bufferedChunks: this.bufferedChunks,
            clock: this.clock,
            onComplete: () => {
                this.destroyIfBodyIncomplete();
                this.end(() => {
                    this.listener.onCompleted(this);
                });
            },
        });
    }

    /**
     * Ends the attempt and asks the backend server to cancel a request that may have reached it. If the request must
     * not run twice, the listener is told whether the server confirmed the cancellation.
     */
    cancel(): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.cancelAcquire();
        const { response } = this;
        if (response?.readableEnded === true || this.endsWithHead) {
            this.destroyIfBodyIncomplete();
            return;
        }
        const isBuffered = this.bufferedChunks !== undefined;
        if (
            response !== undefined && !this.relayed && !isBuffered
            && Number(response.headers["content-length"]) <= MAX_BUFFERED_RESPONSE_BYTES
        ) {
            // Reading an unneeded short response to its end keeps the connection reusable.
            response.resume();
            response.on("end", () => {
                this.destroyIfBodyIncomplete();
            });
            return;
        }
        this.connection?.destroy();
        if (response !== undefined && !isBuffered) {
            return;
        }
        if (this.sentAtMs === undefined) {
            this.listener.onFailed(this, "connection-stale");
            return;
        }
        const needsConfirmation = this.effect.requireLiveConnection;
        this.requestCancellation(needsConfirmation ? "new" : "any", confirmed => {
            if (needsConfirmation) {
                this.listener.onFailed(this, confirmed ? "cancel-confirmed" : "reset");
            }
        });
    }

    /** Fails the attempt and closes its connection, which is silent while another one to the server works. */
    closeSilent(): void {
        this.pool.closeIdle({ olderThanMs: 2_000 });
        this.failAfterSend("silent");
    }

    private send(connection: BackendConnection): void {
        if (this.ended) {
            this.pool.release(connection);
            return;
        }
        const { request, effect } = this;
        const nowMs = this.clock.atMs();
        // No await or callback may come between this check and the request below. A pause of the process after the
        // check is harmless only because the grant of the key allows this one send.
        if (request.callerDisconnected || request.finished || request.isExpired(this.clock)) {
            this.pool.release(connection);
            this.end(() => {
                this.listener.onFailed(this, "connection-stale");
            });
            return;
        }
        if (effect.requireLiveConnection && !connection.isFresh(nowMs)) {
            this.pool.release(connection);
            this.end(() => {
                this.listener.onFailed(this, "connection-stale");
            });
            return;
        }
        this.connection = connection;
        this.sentAtMs = nowMs;
        this.instanceIdAtSend = this.pool.instanceId;
        connection.expectResponse(() => this.response?.complete === true);
        let outgoing: ClientRequest;
        try {
            outgoing = httpRequest({
                agent: connection.agent,
                method: request.message.method,
                path: request.path,
                headers: createAttemptHeaders(request, {
                    attemptNumber: effect.attemptNumber,
                    remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
                }),
            });
        }
        catch {
            // Node.js throws for some paths and headers that its own parser accepts. Nothing was sent.
            connection.destroy();
            this.end(() => {
                this.listener.onFailed(this, "connection-stale");
            });
            return;
        }
        this.outgoing = outgoing;
        outgoing.on("response", response => {
            this.onResponse(response);
        });
        limitInterimResponses(outgoing, () => {
            this.failAfterSend("reset");
        });
        outgoing.on("close", () => {
            // Node.js closes the connection without an error after a response that switches protocols.
            if (this.response === undefined) {
                this.failAfterSend("reset");
            }
        });
        outgoing.on("error", () => {
            this.failAfterSend(this.response === undefined ? "reset" : "body-cut");
        });
        this.sendBody(outgoing);
    }

    private sendBody(outgoing: ClientRequest): void {
        const { request } = this;
        if (request.bodyComplete) {
            this.fullySentAtMs = this.sentAtMs;
            if (request.bodyBytes === 0) {
                outgoing.end();
            }
            else {
                outgoing.end(request.chunks.length === 1 ? request.chunks[0] : Buffer.concat(request.chunks));
            }
            return;
        }
        request.bodyStreamed = true;
        const { message } = request;
        for (const chunk of request.chunks) {
            outgoing.write(chunk);
        }
        request.chunks = [];
        message.on("data", (chunk: Buffer) => {
            request.lastProgressAtMs = this.clock.atMs();
            if (!this.ended && !outgoing.write(chunk)) {
                message.pause();
            }
        });
        outgoing.on("drain", () => {
            message.resume();
        });
        message.on("close", () => {
            // The caller's body was truncated. The backend server must not take it for complete.
            if (!message.complete) {
                this.connection?.destroy();
            }
        });
        message.on("end", () => {
            request.bodyComplete = true;
            this.fullySentAtMs = this.clock.atMs();
            if (!this.ended) {
                outgoing.end();
            }
        });
        message.resume();
    }

    private onResponse(response: IncomingMessage): void {
        if (this.ended) {
            this.connection?.destroy();
            return;
        }
        if (findHeadFault(response) !== undefined) {
            this.failAfterSend("reset");
            return;
        }
        // A response to another request, such as a late or duplicate one, fails the attempt.
        if (singleHeader(response.headers["request-id"]) !== this.request.requestId) {
            this.connection?.destroy();
            this.failAfterSend("reset");
            return;
        }
        const statusCode = response.statusCode ?? 0;
        const hasNoBody = this.request.message.method === "HEAD" || statusCode === 204 || statusCode === 304;
        if (!hasNoBody && endsWithConnection(response)) {
            this.connection?.destroy();
            this.failAfterSend("reset");
            return;
        }
        this.response = response;
        this.pool.instanceId = singleHeader(response.headers["instance-id"]) ?? this.pool.instanceId;
        if (announcesForbiddenBody(response)) {
            this.endsWithHead = true;
            this.bufferedChunks = [];
            this.connection?.destroy();
            this.reportResponse();
            return;
        }
        response.on("error", () => {
            this.failAfterSend("body-cut");
        });
        response.on("close", () => {
            if (!response.complete) {
                this.failAfterSend("body-cut");
            }
        });
        if (hasNoBody || !(Number(response.headers["content-length"]) <= MAX_BUFFERED_RESPONSE_BYTES)) {
            this.reportResponse();
            return;
        }
        const bufferedChunks: Buffer[] = [];
        this.bufferedChunks = bufferedChunks;
        response.on("data", (chunk: Buffer) => {
            bufferedChunks.push(chunk);
        });
        response.on("end", () => {
            if (!this.ended && response.complete) {
                this.reportResponse();
            }
        });
    }

    private reportResponse(): void {
        this.listener.onResponded(this);
        if (!this.relayed) {
            this.cancel();
        }
    }

    /** Destroys a connection whose request body is incomplete, as it cannot carry another request. */
    private destroyIfBodyIncomplete(): void {
        if (this.outgoing?.writableEnded !== true) {
            this.connection?.destroy();
        }
    }

    /** Fails an attempt whose request was sent at least in part. */
    private failAfterSend(failure: "reset" | "silent" | "body-cut"): void {
        this.end(() => {
            this.connection?.destroy();
            if (failure === "body-cut" && this.relayed) {
                this.listener.onFailed(this, failure);
                return;
            }
            if (!this.effect.requireLiveConnection) {
                if (failure === "silent") {
                    this.requestCancellation("any", () => undefined);
                }
                this.listener.onFailed(this, failure);
                return;
            }
            this.requestCancellation("new", confirmed => {
                this.listener.onFailed(this, confirmed ? "cancel-confirmed" : failure);
            });
        });
    }

    /** Calls back with true only if the instance that got the request confirms that it will not run it. */
    private requestCancellation(mode: "any" | "new", callback: (confirmed: boolean) => void): void {
        const { instanceIdAtSend } = this;
        this.pool.exchange({
            method: "DELETE",
            path: `/_requests/${encodeURIComponent(this.request.requestId)}`,
            timeoutMs: CANCELLATION_TIMEOUT_MS,
            mode,
        }, result => {
            const state = (result?.parseBody() as { readonly state?: unknown; } | undefined)?.state;
            callback(
                result?.statusCode === 200 && instanceIdAtSend !== undefined
                    && result.instanceId === instanceIdAtSend
                    && (state === "not-started" || state === "never-seen"),
            );
        });
    }

    private end(then: () => void): void {
        if (!this.ended) {
            this.ended = true;
            then();
        }
    }
}
