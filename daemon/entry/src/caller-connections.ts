import type { Socket } from "node:net";
import type { CallerConnection } from "./caller-connection.js";
import type { CallerLimit } from "./caller-limit.js";
import type { CallerMemory } from "./caller-memory.js";
import { selectClosableConnections } from "./select-closable-connections.js";

const PARTIAL_HEADS_INTERVAL_MS = 250;
// Heads have at most a few KB in practice. Larger ones give way to bodies.
const PARTIAL_HEADS_SHARE = 1 / 4;
// So many connections are closed at once that a flood of new ones does not cause a search each.
const CLOSED_CONNECTIONS_SHARE = 1 / 64;

interface CallerConnectionsOptions {
    readonly create: (socket: Socket) => CallerConnection;
    readonly memory: CallerMemory;
    readonly maxConnections: number;
    readonly nowMs: () => number;
    readonly onLimited: (limit: CallerLimit, fields: Readonly<Record<string, unknown>>) => void;
}

/** The open connections of callers, and the limits on what they hold together. */
export class CallerConnections {
    private readonly opts: CallerConnectionsOptions;
    private readonly connections = new Map<Socket, CallerConnection>();
    private timer: NodeJS.Timeout | undefined;

    constructor(opts: CallerConnectionsOptions) {
        this.opts = opts;
    }

    get size(): number {
        return this.connections.size;
    }

    get all(): Iterable<CallerConnection> {
        return this.connections.values();
    }

    get(socket: Socket): CallerConnection {
        let connection = this.connections.get(socket);
        if (connection === undefined) {
            connection = this.opts.create(socket);
            this.connections.set(socket, connection);
            socket.once("close", () => {
                this.connections.delete(socket);
            });
        }
        return connection;
    }

    /** Closes the connections that are needed least if the new one is too many, or the new one if all are in use. */
    accept(socket: Socket): void {
        const { maxConnections, nowMs } = this.opts;
        const accepted = this.get(socket);
        if (this.connections.size <= maxConnections) {
            return;
        }
        const count = Math.max(1, Math.floor(maxConnections * CLOSED_CONNECTIONS_SHARE));
        const others = [...this.connections.values()].filter(connection => connection !== accepted);
        const closable = selectClosableConnections(others, { nowMs: nowMs(), count });
        for (const connection of closable.length > 0 ? closable : [accepted]) {
            this.close("caller-connections-exhausted", connection);
        }
    }

    /** Counts heads that have been received in part, at intervals, until `stopWatching`. */
    startWatching(): void {
        this.timer ??= setInterval(() => {
            this.limitPartialHeads();
        }, PARTIAL_HEADS_INTERVAL_MS).unref();
    }

    stopWatching(): void {
        clearInterval(this.timer);
        this.timer = undefined;
    }

    /** Closes a connection for a limit, at once. */
    close(limit: CallerLimit, connection: CallerConnection): void {
        this.report(limit, connection, { phase: connection.phase });
        this.connections.delete(connection.socket);
        connection.destroy();
    }

    report(limit: CallerLimit, { socket }: CallerConnection, fields: Readonly<Record<string, unknown>>): void {
        this.opts.onLimited(limit, { peer: `${socket.remoteAddress}:${socket.remotePort}`, ...fields });
    }

    private limitPartialHeads(): void {
        const { memory } = this.opts;
        const partial = [...this.connections.values()].filter(({ partialHeadBytes }) => partialHeadBytes > 0);
        let totalBytes = partial.reduce((bytes, { partialHeadBytes }) => bytes + partialHeadBytes, 0);
        for (const connection of partial.sort((a, b) => a.progressAtMs - b.progressAtMs)) {
            if (totalBytes <= memory.maxBytes * PARTIAL_HEADS_SHARE) {
                break;
            }
            totalBytes -= connection.partialHeadBytes;
            this.close("caller-memory-exhausted", connection);
        }
        memory.setPartialHeadBytes(totalBytes);
    }
}
