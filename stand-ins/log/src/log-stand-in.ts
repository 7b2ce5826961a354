import { InvalidRequestError, readJson, sendJson } from "@marigoldstall-private/http";
import * as Schema from "effect/Schema";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { FaultTable } from "./fault-table.js";
import type { LogFaultSettings } from "./log-fault-settings.js";
import { LogFaults } from "./log-faults.js";
import type { LogOptions } from "./log-options.js";
import type { LogRecord } from "./log-record.js";
import { LogStream } from "./log-stream.js";
import { RateLimiter } from "./rate-limiter.js";

const MAX_BODY_BYTES = 1_048_576;
const DEFAULT_APPENDS_PER_SECOND = 400;
const DEFAULT_RETENTION_MS = 3_600_000;
const DEFAULT_PAGE_RECORDS = 1000;
const MAX_PAGE_RECORDS = 10_000;
const MAX_WAIT_MS = 30_000;
const RECORDS_PATH = /^\/streams\/([A-Za-z0-9._-]{1,64})\/records$/;

const FaultRequest = Schema.Struct({ stream: Schema.optionalKey(Schema.String), ...LogFaults.fields });
const decodeFaultRequest = Schema.decodeUnknownSync(FaultRequest, { onExcessProperty: "error" });

const readParameter = (query: URLSearchParams, opts: { readonly name: string; readonly fallback: number; }): number => {
    const text = query.get(opts.name) ?? String(opts.fallback);
    if (!/^\d{1,15}$/.test(text)) {
        throw new InvalidRequestError(400, `${opts.name} must be a non-negative integer of at most 15 digits`);
    }
    return Number(text);
};

/** In-memory stand-in for the platform's append-only log service, with faults that can be set at run time. */
export class LogStandIn {
    readonly address: string;
    private readonly server: Server;
    private readonly streams = new Map<string, LogStream>();
    private readonly faults = new FaultTable();
    private readonly appendLimiter: RateLimiter;
    private readonly retentionMs: number;
    private era = 0;

    private constructor(server: Server, opts: LogOptions) {
        this.server = server;
        this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        this.appendLimiter = new RateLimiter({ perSecond: opts.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND });
        this.retentionMs = opts.retentionMs ?? DEFAULT_RETENTION_MS;
        server.on("request", (request, response) => {
            this.serve(request, response).catch((error: unknown) => {
                if (response.headersSent || response.destroyed) {
                    return;
                }
                const status = error instanceof InvalidRequestError ? error.status : 500;
                sendJson(response, { status, body: { error: String(error) } });
            });
        });
    }

    static async start(opts: LogOptions = {}): Promise<LogStandIn> {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(opts.port ?? 0, "127.0.0.1", resolve);
        });
        return new LogStandIn(server, opts);
    }

    /** Replaces the faults of a stream, or those for all streams when `stream` is omitted. `{}` clears them. */
    setFaults(faults: LogFaultSettings, opts: { readonly stream?: string | undefined; } = {}): void {
        const { cutBelowOffset, restoreAgeMs, ...lastingFaults } = faults;
        this.faults.set(opts.stream, lastingFaults);
        const affectedStreams = opts.stream === undefined ? [...this.streams.values()] : [this.getStream(opts.stream)];
        if (restoreAgeMs !== undefined) {
            this.era += 1;
            for (const stream of affectedStreams) {
                stream.restore(Date.now() - restoreAgeMs);
            }
        }
        if (cutBelowOffset !== undefined) {
            for (const stream of affectedStreams) {
                stream.removeBelow(cutBelowOffset);
            }
        }
    }

    /** Returns all retained records of a stream, regardless of injected faults. */
    records(stream: string): readonly LogRecord[] {
        return this.getStream(stream).readPage(0, { limit: Number.MAX_SAFE_INTEGER }).records;
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        await closed;
    }

    private getStream(name: string): LogStream {
        const stream = this.streams.get(name) ?? new LogStream();
        this.streams.set(name, stream);
        stream.removeOlderThan(Date.now() - this.retentionMs);
        return stream;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://log");
        if (url.pathname === "/_faults") {
            await this.serveFaults(request, response);
            return;
        }
        const name = RECORDS_PATH.exec(url.pathname)?.[1];
        if (name === undefined || (request.method !== "GET" && request.method !== "POST")) {
            sendJson(response, { status: 404, body: { error: "unknown path or method" } });
            return;
        }
        if (this.applyOutage(name, response)) {
            return;
        }
        if (request.method === "POST") {
            await this.serveAppend(name, request, response);
        }
        else {
            await this.serveRead(name, url.searchParams, response);
        }
    }

    private applyOutage(name: string, response: ServerResponse): boolean {
        const { outage } = this.faults.get(name);
        if (outage === "drop") {
            response.destroy();
        }
        else if (outage === "refuse") {
            sendJson(response, { status: 503, body: { error: "service unavailable (injected outage)" } });
        }
        return outage !== undefined;
    }

    private async serveAppend(name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const value = await readJson(request, { maxBytes: MAX_BODY_BYTES });
        if (this.faults.consume(name, "refuseAppends")) {
            sendJson(response, {
                status: 503,
                body: { error: "append rejected by an injected fault, the record was not stored" },
            });
            return;
        }
        if (this.faults.consume(name, "dropAppends")) {
            response.destroy();
            return;
        }
        const atMs = Date.now();
        if (!this.appendLimiter.tryAcquire(atMs)) {
            const headers = { "Retry-After": "1" };
            sendJson(response, { status: 429, body: { error: "append rate limit exceeded" }, headers });
            return;
        }
        const offset = this.getStream(name).append(value, { atMs });
        if (this.faults.consume(name, "loseAppendAnswers")) {
            response.destroy();
            return;
        }
        await this.delayResponse(name);
        sendJson(response, { status: 201, body: { offset } });
    }

    private async serveRead(name: string, query: URLSearchParams, response: ServerResponse): Promise<void> {
        const from = readParameter(query, { name: "from", fallback: 0 });
        const requestedLimit = readParameter(query, { name: "limit", fallback: DEFAULT_PAGE_RECORDS });
        const limit = Math.min(Math.max(requestedLimit, 1), MAX_PAGE_RECORDS);
        const waitMs = Math.min(readParameter(query, { name: "waitMs", fallback: 0 }), MAX_WAIT_MS);
        const waitController = new AbortController();
        response.once("close", () => waitController.abort());
        await this.getStream(name).waitForOffset(from, { waitMs, signal: waitController.signal });
        await this.delayResponse(name);
        if (this.applyOutage(name, response)) {
            return;
        }
        const { repeatRecords } = this.faults.get(name);
        const page = this.getStream(name).readPage(from, { limit, repeatRecords });
        sendJson(response, { status: 200, body: this.era === 0 ? page : { era: this.era, ...page } });
    }

    private async delayResponse(name: string): Promise<void> {
        const { slowMs } = this.faults.get(name);
        if (slowMs !== undefined) {
            await delay(slowMs, undefined, { ref: false });
        }
    }

    private async serveFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.method === "POST") {
            const body = await readJson(request, { maxBytes: MAX_BODY_BYTES });
            try {
                const { stream, ...faults } = decodeFaultRequest(body);
                this.setFaults(faults, { stream });
            }
            catch (error) {
                throw new InvalidRequestError(400, String(error));
            }
        }
        sendJson(response, { status: 200, body: this.faults.list() });
    }
}
