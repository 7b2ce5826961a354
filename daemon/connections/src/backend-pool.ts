import { BodyCollector, CheckedSocket, collectBody, watchResponseEnd } from "@marigoldstall/core.http-body";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { BackendConnection } from "./backend-connection.js";
import type { BackendPoolOptions } from "./backend-pool-options.js";
import type { Clock } from "./clock.js";
import type { ExchangeResult } from "./exchange-result.js";
import { findHeadFault } from "./find-head-fault.js";
import { limitInterimResponses } from "./limit-interim-responses.js";
import { singleHeader } from "./single-header.js";

// Node.js servers close idle connections after 5 s. A shorter limit avoids sending a request while the server closes.
const DEFAULT_IDLE_LIMIT_MS = 4_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
// Connections above the limit for cancellations and health checks, which must work when all other connections hang.
const EXTRA_CONNECTIONS = 2;
const MAX_EXCHANGE_BODY_BYTES = 4_096;

const parseJson = (body: Buffer): unknown => {
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
};

interface AcquireOptions {
    /** `any` and `fresh` reuse an idle connection, `fresh` only a recently active one; `new` always opens one. */
    readonly mode: "any" | "fresh" | "new";
    readonly allowExtra?: boolean;
    readonly onReady: (connection: BackendConnection) => void;
    /** Gets the code of the error if connecting failed by one. */
    readonly onFailed: (errorCode?: string) => void;
}

/** Pool of connections to one backend server. */
export class BackendPool {
    readonly address: string;
    /** Id of the instance that responded last. */
    instanceId: string | undefined;
    /** When a connection of the pool last received a byte. */
    lastReceivedAtMs = -Infinity;
    /** When a connection was last requested. */
    lastAcquiredAtMs: number;
    private readonly maxConnections: number;
    private readonly clock: Clock;
    private readonly idleLimitMs: number;
    private readonly connectTimeoutMs: number;
    private readonly instanceIdHeader: string;
    private readonly onIdleChanged: ((idleConnections: number) => void) | undefined;
    private readonly onOpened: (() => void) | undefined;
    private reportedIdleCount = 0;
    private readonly idle: BackendConnection[] = [];
    private readonly open = new Set<BackendConnection>();
    private readonly connecting = new Set<Socket>();

    constructor(opts: BackendPoolOptions) {
        this.address = opts.address;
        this.maxConnections = opts.maxConnections;
        this.clock = opts.clock;
        this.idleLimitMs = opts.idleLimitMs ?? DEFAULT_IDLE_LIMIT_MS;
        this.connectTimeoutMs = opts.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
        this.instanceIdHeader = opts.instanceIdHeader ?? "instance-id";
        this.onIdleChanged = opts.onIdleChanged;
        this.onOpened = opts.onOpened;
        this.lastAcquiredAtMs = opts.clock.atMs();
    }

    get connectionCount(): number {
        return this.open.size + this.connecting.size;
    }

    /** Reserves an idle connection synchronously or opens a new one. Returns a function that cancels the wait. */
    acquire(opts: AcquireOptions): () => void {
        this.lastAcquiredAtMs = this.clock.atMs();
        if (opts.mode !== "new") {
            const connection = this.takeIdle(opts.mode);
            this.reportIdleCount();
            if (connection !== undefined) {
                connection.reserve();
                opts.onReady(connection);
                return () => undefined;
            }
        }
        if (this.connectionCount >= this.maxConnections) {
            this.idle.shift()?.destroy();
        }
        return this.connect(opts);
    }

    /** Returns a reserved connection to the pool. Only valid before a byte was sent on it. */
    release(connection: BackendConnection): void {
        connection.cancelReservation();
        if (connection.usable) {
            this.idle.push(connection);
            this.reportIdleCount();
        }
    }

    closeIdle(opts: { readonly olderThanMs: number; }): void {
        const nowMs = this.clock.atMs();
        for (const connection of [...this.idle]) {
            if (nowMs - connection.lastReceivedAtMs >= opts.olderThanMs) {
                this.remove(connection);
                connection.destroy();
            }
        }
    }

    closeAll(): void {
        for (const connection of this.open) {
            connection.destroy();
        }
        for (const socket of this.connecting) {
            socket.destroy();
        }
    }

    /** Sends a small request of the daemon itself. The callback receives undefined without a complete response. */
    exchange(
        opts: {
            readonly method: string;
            readonly path: string;
            readonly timeoutMs: number;
            readonly mode: "any" | "new";
            /** Whether a response without the id of an instance cannot be the one to this request. */
            readonly expectsInstanceId?: boolean;
            /** Checked right before the request is sent; false prevents it. */
            readonly shouldSend?: () => boolean;
        },
        callback: (result: ExchangeResult | undefined, connectErrorCode?: string) => void,
    ): void {
        let finished = false;
        let abort = (): void => undefined;
        const finish = (result: ExchangeResult | undefined, connectErrorCode?: string): void => {
            if (!finished) {
                finished = true;
                clearTimeout(timer);
                if (result === undefined) {
                    abort();
                }
                callback(result, connectErrorCode);
            }
        };
        const timer = setTimeout(() => {
            finish(undefined);
        }, opts.timeoutMs);
        const cancelAcquire = this.acquire({
            mode: opts.mode,
            allowExtra: true,
            onFailed: errorCode => {
                finish(undefined, errorCode);
            },
            onReady: connection => {
                if (finished || opts.shouldSend?.() === false) {
                    this.release(connection);
                    finish(undefined);
                    return;
                }
                abort = () => {
                    connection.destroy();
                };
                this.send(connection, opts, finish);
            },
        });
        if (!finished) {
            const previousAbort = abort;
            abort = () => {
                cancelAcquire();
                previousAbort();
            };
        }
    }

    private send(
        connection: BackendConnection,
        opts: { readonly method: string; readonly path: string; readonly expectsInstanceId?: boolean; },
        finish: (result: ExchangeResult | undefined) => void,
    ): void {
        const collector = new BodyCollector({
            maxBytes: MAX_EXCHANGE_BODY_BYTES,
            onExceeded: () => {
                connection.destroy();
            },
        });
        let hasResponse = false;
        connection.expectResponse(() => false);
        const request = httpRequest({
            agent: connection.agent,
            method: opts.method,
            path: opts.path,
            headers: { "Host": this.address, "Content-Length": 0 },
        }, response => {
            hasResponse = true;
            if (findHeadFault(response) !== undefined) {
                connection.destroy();
                finish(undefined);
                return;
            }
            connection.expectResponse(() => response.complete);
            collectBody(response, collector);
            watchResponseEnd(response, {
                onComplete: () => {
                    const body = collector.complete();
                    const instanceId = singleHeader(response.headers[this.instanceIdHeader]);
                    if (opts.expectsInstanceId === true && instanceId === undefined) {
                        // A late copy of an earlier response. The response to this request is still to come.
                        connection.destroy();
                    }
                    this.instanceId = instanceId ?? this.instanceId;
                    const { statusCode = 0, headers } = response;
                    // Node.js frees the connection in a callback that it queued before this one.
                    process.nextTick(() => {
                        finish({ statusCode, instanceId, headers, parseBody: () => parseJson(body) });
                    });
                },
                onCut: () => {
                    finish(undefined);
                },
            });
        });
        limitInterimResponses(request, () => {
            connection.destroy();
        });
        request.on("close", () => {
            if (!hasResponse) {
                finish(undefined);
            }
        });
        request.on("error", () => {
            finish(undefined);
        });
        request.end();
    }

    private connect(opts: AcquireOptions): () => void {
        const limit = this.maxConnections + (opts.allowExtra === true ? EXTRA_CONNECTIONS : 0);
        if (this.connectionCount >= limit) {
            opts.onFailed();
            return () => undefined;
        }
        const colon = this.address.lastIndexOf(":");
        const host = this.address.slice(0, colon).replace(/^\[|\]$/g, "");
        let socket: Socket;
        try {
            socket = new CheckedSocket().setNoDelay(true).connect({
                host,
                port: Number(this.address.slice(colon + 1)),
            });
        }
        catch (error) {
            // Node.js throws for a port out of range, which a VM of an earlier release may tell this one.
            opts.onFailed((error as NodeJS.ErrnoException).code);
            return () => undefined;
        }
        this.connecting.add(socket);
        let isWaiting = true;
        let errorCode: string | undefined;
        const onConnectFailed = (): void => {
            this.connecting.delete(socket);
            if (isWaiting) {
                isWaiting = false;
                opts.onFailed(errorCode);
            }
        };
        socket.setTimeout(this.connectTimeoutMs, () => {
            socket.destroy();
        });
        socket.on("error", (error: NodeJS.ErrnoException) => {
            errorCode = error.code;
        });
        socket.once("close", onConnectFailed);
        socket.once("connect", () => {
            socket.setTimeout(0);
            socket.off("close", onConnectFailed);
            this.connecting.delete(socket);
            const connection = new BackendConnection({
                socket,
                clock: this.clock,
                onFree: freed => {
                    this.lastReceivedAtMs = Math.max(this.lastReceivedAtMs, freed.lastReceivedAtMs);
                    this.idle.push(freed);
                    this.reportIdleCount();
                },
                onClosed: closed => {
                    this.remove(closed);
                },
            });
            this.open.add(connection);
            this.onOpened?.();
            if (isWaiting) {
                isWaiting = false;
                connection.reserve();
                opts.onReady(connection);
            }
            else {
                this.idle.push(connection);
                this.reportIdleCount();
            }
        });
        return () => {
            isWaiting = false;
        };
    }

    /** Takes the most recently used idle connection, so that surplus connections stay idle and are closed. */
    private takeIdle(mode: "any" | "fresh"): BackendConnection | undefined {
        const nowMs = this.clock.atMs();
        for (let connection = this.idle.pop(); connection !== undefined; connection = this.idle.pop()) {
            if (
                !connection.usable
                || nowMs - connection.lastReceivedAtMs >= (connection.keepAliveMs ?? this.idleLimitMs)
            ) {
                this.open.delete(connection);
                connection.destroy();
                continue;
            }
            if (mode === "fresh" && !connection.isFresh(nowMs)) {
                this.idle.push(connection);
                return undefined;
            }
            return connection;
        }
        return undefined;
    }

    private remove(connection: BackendConnection): void {
        this.open.delete(connection);
        const index = this.idle.indexOf(connection);
        if (index >= 0) {
            this.idle.splice(index, 1);
            this.reportIdleCount();
        }
    }

    private reportIdleCount(): void {
        if (this.idle.length !== this.reportedIdleCount) {
            this.reportedIdleCount = this.idle.length;
            this.onIdleChanged?.(this.reportedIdleCount);
        }
    }
}
