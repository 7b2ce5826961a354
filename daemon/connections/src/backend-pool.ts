import { request as httpRequest } from "node:http";
import { connect, type Socket } from "node:net";
import { BackendConnection } from "./backend-connection.js";
import type { BackendPoolOptions } from "./backend-pool-options.js";
import type { Clock } from "./clock.js";
import type { ExchangeResult } from "./exchange-result.js";
import { singleHeader } from "./single-header.js";

// Below the 5 s after which a Node.js server closes an idle connection, which would race with the next request.
const DEFAULT_IDLE_LIMIT_MS = 4_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
// Cancellations and health checks must get through when all request connections hang.
const SPARE_CONNECTIONS = 2;
const MAX_EXCHANGE_BYTES = 4_096;

interface AcquireOptions {
    /** `any` idle one, only a `fresh` one or a new one, or always a `new` one. */
    readonly mode: "any" | "fresh" | "new";
    readonly spare?: boolean;
    readonly onReady: (connection: BackendConnection) => void;
    readonly onFailed: () => void;
}

/** Connections to one backend server. */
export class BackendPool {
    readonly address: string;
    /** Instance that answered last. */
    instanceId: string | undefined;
    /** When any connection last received a byte. */
    lastReceivedAtMs = -Infinity;
    /** When a connection was last asked for. */
    usedAtMs: number;
    private readonly maxConnections: number;
    private readonly clock: Clock;
    private readonly idleLimitMs: number;
    private readonly connectTimeoutMs: number;
    private readonly instanceIdHeader: string;
    private readonly onIdleChanged: ((idleConnections: number) => void) | undefined;
    private readonly onOpened: (() => void) | undefined;
    private toldIdle = 0;
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
        this.usedAtMs = opts.clock.atMs();
    }

    get connectionCount(): number {
        return this.open.size + this.connecting.size;
    }

    /** Hands out a reserved connection, at once when one is idle. Returns a function that gives up waiting. */
    acquire(opts: AcquireOptions): () => void {
        this.usedAtMs = this.clock.atMs();
        if (opts.mode !== "new") {
            const connection = this.takeIdle(opts.mode);
            this.tellIdle();
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

    /** Takes back a connection on which no byte was sent. */
    release(connection: BackendConnection): void {
        connection.giveBack();
        if (connection.usable) {
            this.idle.push(connection);
            this.tellIdle();
        }
    }

    closeIdle(opts: { readonly olderThanMs: number; }): void {
        const nowMs = this.clock.atMs();
        for (const connection of [...this.idle]) {
            if (nowMs - connection.lastReceivedAtMs >= opts.olderThanMs) {
                this.forget(connection);
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

    /** Sends a small request of the daemon itself. The callback gets undefined when there was no whole answer. */
    exchange(
        opts: {
            readonly method: string;
            readonly path: string;
            readonly timeoutMs: number;
            readonly mode: "any" | "new";
            /** Asked right before the request is sent. */
            readonly mayStillSend?: () => boolean;
        },
        callback: (result: ExchangeResult | undefined) => void,
    ): void {
        let finished = false;
        let abandon = (): void => undefined;
        const finish = (result: ExchangeResult | undefined): void => {
            if (!finished) {
                finished = true;
                clearTimeout(timer);
                if (result === undefined) {
                    abandon();
                }
                callback(result);
            }
        };
        const timer = setTimeout(() => {
            finish(undefined);
        }, opts.timeoutMs);
        const giveUp = this.acquire({
            mode: opts.mode,
            spare: true,
            onFailed: () => {
                finish(undefined);
            },
            onReady: connection => {
                if (finished || opts.mayStillSend?.() === false) {
                    this.release(connection);
                    finish(undefined);
                    return;
                }
                abandon = () => {
                    connection.destroy();
                };
                this.send(connection, opts, finish);
            },
        });
        if (!finished) {
            const former = abandon;
            abandon = () => {
                giveUp();
                former();
            };
        }
    }

    private send(
        connection: BackendConnection,
        opts: { readonly method: string; readonly path: string; },
        finish: (result: ExchangeResult | undefined) => void,
    ): void {
        const chunks: Buffer[] = [];
        let bodyBytes = 0;
        connection.expectResponse(() => false);
        const request = httpRequest({
            agent: connection.agent,
            method: opts.method,
            path: opts.path,
            headers: { "Host": this.address, "Content-Length": 0 },
        }, response => {
            connection.expectResponse(() => response.complete);
            response.on("data", (chunk: Buffer) => {
                bodyBytes += chunk.length;
                chunks.push(chunk);
                if (bodyBytes > MAX_EXCHANGE_BYTES) {
                    connection.destroy();
                }
            });
            response.on("error", () => {
                finish(undefined);
            });
            response.on("end", () => {
                let body: unknown;
                try {
                    body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
                }
                catch {
                    body = undefined;
                }
                const instanceId = singleHeader(response.headers[this.instanceIdHeader]);
                this.instanceId = instanceId ?? this.instanceId;
                finish({ statusCode: response.statusCode ?? 0, instanceId, headers: response.headers, body });
            });
        });
        request.on("error", () => {
            finish(undefined);
        });
        request.end();
    }

    private connect(opts: AcquireOptions): () => void {
        const limit = this.maxConnections + (opts.spare === true ? SPARE_CONNECTIONS : 0);
        if (this.connectionCount >= limit) {
            opts.onFailed();
            return () => undefined;
        }
        const colon = this.address.lastIndexOf(":");
        const host = this.address.slice(0, colon).replace(/^\[|\]$/g, "");
        const socket = connect({ host, port: Number(this.address.slice(colon + 1)), noDelay: true });
        this.connecting.add(socket);
        let wanted = true;
        const onConnectFailed = (): void => {
            this.connecting.delete(socket);
            if (wanted) {
                wanted = false;
                opts.onFailed();
            }
        };
        socket.setTimeout(this.connectTimeoutMs, () => {
            socket.destroy();
        });
        socket.on("error", () => undefined);
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
                    this.tellIdle();
                },
                onClosed: closed => {
                    this.forget(closed);
                },
            });
            this.open.add(connection);
            this.onOpened?.();
            if (wanted) {
                wanted = false;
                connection.reserve();
                opts.onReady(connection);
            }
            else {
                this.idle.push(connection);
                this.tellIdle();
            }
        });
        return () => {
            wanted = false;
        };
    }

    /** The idle connection used last, so that the others fall idle for long and close. */
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

    private forget(connection: BackendConnection): void {
        this.open.delete(connection);
        const index = this.idle.indexOf(connection);
        if (index >= 0) {
            this.idle.splice(index, 1);
            this.tellIdle();
        }
    }

    private tellIdle(): void {
        if (this.idle.length !== this.toldIdle) {
            this.toldIdle = this.idle.length;
            this.onIdleChanged?.(this.toldIdle);
        }
    }
}
