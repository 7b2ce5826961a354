import {
    type BackendConnection,
    type BackendPool,
    type Clock,
    endToEndHeaders,
    singleHeader,
} from "@marigoldstall/daemon.connections";
import type { RoutingEffect } from "@marigoldstall/routing.state";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { AttemptListener } from "./attempt-listener.js";
import type { CallerRequest } from "./caller-request.js";
import { OWN_HEADERS } from "./own-headers.js";
import { relayResponse } from "./relay-response.js";

type StartAttempt = Extract<RoutingEffect, { readonly type: "start-attempt"; }>;

// Routing waits 1 s for the result of a cancellation.
const CANCEL_TIMEOUT_MS = 900;
// A response up to this size is relayed once it is whole: one that is cut can then be retried, or answered with a
// statement of the outcome, instead of being cut at the caller too.
const MAX_SHORT_BYTES = 65_536;

/** One sending of a caller's request to a backend server. */
export class Attempt {
    readonly effect: StartAttempt;
    readonly request: CallerRequest;
    readonly pool: BackendPool;
    sentAtMs: number | undefined;
    /** When the whole request, body included, was handed to the connection. */
    private waitingSinceMs: number | undefined;
    response: IncomingMessage | undefined;
    /** A check of the silent connection was asked for. */
    checkWanted = false;
    private readonly clock: Clock;
    private readonly listener: AttemptListener;
    private connection: BackendConnection | undefined;
    private outgoing: ClientRequest | undefined;
    private instanceIdAtSend: string | undefined;
    private abandonConnect = (): void => undefined;
    private ended = false;
    private relayed = false;
    /** Body of a short response, held until it is whole. */
    private held: Buffer[] | undefined;

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

    /** Whether bytes were sent and no response has begun. */
    get awaitsResponse(): boolean {
        return !this.ended && this.sentAtMs !== undefined && this.response === undefined;
    }

    /** How long the connection has received nothing although the whole request was sent; 0 when it received bytes. */
    silentMs(nowMs: number): number {
        if (!this.awaitsResponse || this.waitingSinceMs === undefined) {
            return 0;
        }
        const silent = (this.connection?.lastReceivedAtMs ?? 0) <= (this.sentAtMs ?? 0);
        return silent ? nowMs - this.waitingSinceMs : 0;
    }

    /** Whether the response stopped in the middle, after the deadline, though the caller is ready to take more. */
    isStalled(nowMs: number): boolean {
        return !this.ended && this.relayed && this.response?.isPaused() === false
            && nowMs >= this.request.deadlineAtMs
            && nowMs - (this.connection?.lastReceivedAtMs ?? nowMs) >= this.effect.silenceLimitMs;
    }

    /** Ends a stalled attempt. */
    closeStalled(): void {
        this.failAfterSend("body-cut");
    }

    start(): void {
        this.abandonConnect = this.pool.acquire({
            mode: this.effect.requireLiveConnection ? "fresh" : "any",
            onFailed: () => {
                this.end(() => {
                    this.listener.failed(this, "connect-failed");
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
            upstream: this.response,
            held: this.held,
            clock: this.clock,
            onWhole: () => {
                this.finishRequestBody();
                this.end(() => {
                    this.listener.completed(this);
                });
            },
        });
    }

    /**
     * Ends the attempt. What the backend server may have got it is asked to cancel; of a request that must not run
     * twice the listener hears whether that was confirmed.
     */
    cancel(): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.abandonConnect();
        const { response } = this;
        if (response?.readableEnded === true) {
            this.finishRequestBody();
            return;
        }
        const isHeld = this.held !== undefined;
        if (
            response !== undefined && !this.relayed && !isHeld
            && Number(response.headers["content-length"]) <= MAX_SHORT_BYTES
        ) {
            // A short response that nobody wants is read to its end, so that the connection can be used again.
            response.resume();
            response.on("end", () => {
                this.finishRequestBody();
            });
            return;
        }
        this.connection?.destroy();
        if (response !== undefined && !isHeld) {
            return;
        }
        if (this.sentAtMs === undefined) {
            this.listener.failed(this, "connection-stale");
            return;
        }
        const mustKnow = this.effect.requireLiveConnection;
        this.askToCancel(mustKnow ? "new" : "any", confirmed => {
            if (mustKnow) {
                this.listener.failed(this, confirmed ? "cancel-confirmed" : "reset");
            }
        });
    }

    /** The connection was found to be silent while another one works: closes it for good. */
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
        // No await and no callback may come between this check and the request below: a pause after the check is
        // harmless only because the grant allows this one sending.
        if (request.callerGone || request.finished || request.isExpired(this.clock)) {
            this.pool.release(connection);
            this.end(() => {
                this.listener.failed(this, "connection-stale");
            });
            return;
        }
        if (effect.requireLiveConnection && !connection.isFresh(nowMs)) {
            this.pool.release(connection);
            this.end(() => {
                this.listener.failed(this, "connection-stale");
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
                headers: this.headers(Math.max(1, Math.floor(request.deadlineAtMs - nowMs))),
            });
        }
        catch {
            // Node.js refuses a path or header that its parser let pass. Nothing was sent.
            connection.destroy();
            this.end(() => {
                this.listener.failed(this, "connection-stale");
            });
            return;
        }
        this.outgoing = outgoing;
        outgoing.on("response", response => {
            this.onResponse(response);
        });
        outgoing.on("error", () => {
            this.failAfterSend(this.response === undefined ? "reset" : "body-cut");
        });
        this.sendBody(outgoing);
    }

    private headers(remainingMs: number): string[] {
        const { message, requestId, bodyComplete, bodyBytes, statedBytes } = this.request;
        const headers = endToEndHeaders(message.rawHeaders, {
            connection: message.headers.connection,
            excluded: OWN_HEADERS.request,
        });
        headers.push(
            "Host",
            message.headers.host ?? "",
            "Request-Id",
            requestId,
            "Request-Timeout-Ms",
            String(remainingMs),
            "Marigoldstall-Attempt",
            String(this.effect.attemptNumber),
        );
        if (bodyComplete) {
            if (bodyBytes > 0 || statedBytes !== undefined) {
                headers.push("Content-Length", String(bodyBytes));
            }
        }
        else if (statedBytes !== undefined) {
            headers.push("Content-Length", String(statedBytes));
        }
        else {
            headers.push("Transfer-Encoding", "chunked");
        }
        return headers;
    }

    private sendBody(outgoing: ClientRequest): void {
        const { request } = this;
        if (request.bodyComplete) {
            this.waitingSinceMs = this.sentAtMs;
            if (request.bodyBytes === 0) {
                outgoing.end();
            }
            else {
                outgoing.end(request.chunks.length === 1 ? request.chunks[0] : Buffer.concat(request.chunks));
            }
            return;
        }
        request.bodyTaken = true;
        const { message } = request;
        for (const chunk of request.chunks) {
            outgoing.write(chunk);
        }
        request.chunks = [];
        message.on("data", (chunk: Buffer) => {
            request.progressAtMs = this.clock.atMs();
            if (!this.ended && !outgoing.write(chunk)) {
                message.pause();
            }
        });
        outgoing.on("drain", () => {
            message.resume();
        });
        message.on("close", () => {
            // The caller's body was cut short; the backend server must not take it for a whole one.
            if (!message.complete) {
                this.connection?.destroy();
            }
        });
        message.on("end", () => {
            request.bodyComplete = true;
            this.waitingSinceMs = this.clock.atMs();
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
        // A response to another request, such as a late or repeated one, fails the attempt.
        if (singleHeader(response.headers["request-id"]) !== this.request.requestId) {
            this.connection?.destroy();
            this.failAfterSend("reset");
            return;
        }
        const statusCode = response.statusCode ?? 0;
        // Without a stated length the end of the connection would end the body, and a cut one would look whole.
        const hasNoBody = this.request.message.method === "HEAD" || statusCode === 204 || statusCode === 304;
        const hasNoEnd = !hasNoBody && response.headers["content-length"] === undefined
            && response.headers["transfer-encoding"] === undefined;
        if (statusCode < 200 || statusCode > 599 || hasNoEnd) {
            this.connection?.destroy();
            this.failAfterSend("reset");
            return;
        }
        this.response = response;
        this.pool.instanceId = singleHeader(response.headers["instance-id"]) ?? this.pool.instanceId;
        response.on("error", () => {
            this.failAfterSend("body-cut");
        });
        response.on("close", () => {
            if (!response.complete) {
                this.failAfterSend("body-cut");
            }
        });
        if (hasNoBody || !(Number(response.headers["content-length"]) <= MAX_SHORT_BYTES)) {
            this.respond();
            return;
        }
        const held: Buffer[] = [];
        this.held = held;
        response.on("data", (chunk: Buffer) => {
            held.push(chunk);
        });
        response.on("end", () => {
            if (!this.ended && response.complete) {
                this.respond();
            }
        });
    }

    private respond(): void {
        this.listener.responded(this);
        if (!this.relayed) {
            this.cancel();
        }
    }

    /** A connection whose request body was not sent whole cannot carry another request. */
    private finishRequestBody(): void {
        if (this.outgoing?.writableEnded !== true) {
            this.connection?.destroy();
        }
    }

    /** Fails an attempt after its first byte was sent. */
    private failAfterSend(failure: "reset" | "silent" | "body-cut"): void {
        this.end(() => {
            this.connection?.destroy();
            if (failure === "body-cut" && this.relayed) {
                this.listener.failed(this, failure);
                return;
            }
            if (!this.effect.requireLiveConnection) {
                if (failure === "silent") {
                    this.askToCancel("any", () => undefined);
                }
                this.listener.failed(this, failure);
                return;
            }
            this.askToCancel("new", confirmed => {
                this.listener.failed(this, confirmed ? "cancel-confirmed" : failure);
            });
        });
    }

    /** Calls back with true only if the instance to which the request was sent states that it will not run it. */
    private askToCancel(mode: "any" | "new", callback: (confirmed: boolean) => void): void {
        const { instanceIdAtSend } = this;
        this.pool.exchange({
            method: "DELETE",
            path: `/_requests/${encodeURIComponent(this.request.requestId)}`,
            timeoutMs: CANCEL_TIMEOUT_MS,
            mode,
        }, result => {
            const state = (result?.body as { readonly state?: unknown; } | undefined)?.state;
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
