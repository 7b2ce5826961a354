import { BadBodyError, readJson, sendJson } from "@marigoldstall-private/http";
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
import { RateLimit } from "./rate-limit.js";

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
        throw new BadBodyError(400, `${opts.name} must be a whole number of at least 0`);
    }
    return Number(text);
};

/** The append-only log service of the platform, in memory, with faults that are set at run time. */
export class LogStandIn {
    readonly address: string;
    private readonly server: Server;
    private readonly streams = new Map<string, LogStream>();
    private readonly faults = new FaultTable();
    private readonly appendLimit: RateLimit;
    private readonly retentionMs: number;

    private constructor(server: Server, opts: LogOptions) {
        this.server = server;
        this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        this.appendLimit = new RateLimit({ perSecond: opts.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND });
        this.retentionMs = opts.retentionMs ?? DEFAULT_RETENTION_MS;
        server.on("request", (request, response) => {
            this.serve(request, response).catch((error: unknown) => {
                if (response.headersSent || response.destroyed) {
                    return;
                }
                const status = error instanceof BadBodyError ? error.status : 500;
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

    /** Replaces the faults of a stream, or of all streams when `stream` is left out. `{}` ends them. */
    setFaults(faults: LogFaultSettings, opts: { readonly stream?: string | undefined; } = {}): void {
        const { cutBelowOffset, ...lasting } = faults;
        this.faults.set(opts.stream, lasting);
        if (cutBelowOffset !== undefined) {
            const cut = opts.stream === undefined ? [...this.streams.values()] : [this.stream(opts.stream)];
            for (const stream of cut) {
                stream.removeBelow(cutBelowOffset);
            }
        }
    }

    /** All records that a stream holds, whatever faults are in force. */
    records(stream: string): readonly LogRecord[] {
        return this.stream(stream).page(0, { limit: Number.MAX_SAFE_INTEGER }).records;
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        await closed;
    }

    private stream(name: string): LogStream {
        const known = this.streams.get(name) ?? new LogStream();
        this.streams.set(name, known);
        known.removeOlderThan(Date.now() - this.retentionMs);
        return known;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://log");
        if (url.pathname === "/_faults") {
            await this.serveFaults(request, response);
            return;
        }
        const name = RECORDS_PATH.exec(url.pathname)?.[1];
        if (name === undefined || (request.method !== "GET" && request.method !== "POST")) {
            sendJson(response, { status: 404, body: { error: "no such resource" } });
            return;
        }
        if (this.failInOutage(name, response)) {
            return;
        }
        if (request.method === "POST") {
            await this.serveAppend(name, request, response);
        }
        else {
            await this.serveRead(name, url.searchParams, response);
        }
    }

    private failInOutage(name: string, response: ServerResponse): boolean {
        const { outage } = this.faults.get(name);
        if (outage === "drop") {
            response.destroy();
        }
        else if (outage === "refuse") {
            sendJson(response, { status: 503, body: { error: "outage" } });
        }
        return outage !== undefined;
    }

    private async serveAppend(name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const value = await readJson(request, { maxBytes: MAX_BODY_BYTES });
        if (this.faults.take(name, "refuseAppends")) {
            sendJson(response, { status: 503, body: { error: "refused before it took effect" } });
            return;
        }
        if (this.faults.take(name, "dropAppends")) {
            response.destroy();
            return;
        }
        const atMs = Date.now();
        if (!this.appendLimit.admit(atMs)) {
            const headers = { "Retry-After": "1" };
            sendJson(response, { status: 429, body: { error: "above the append rate" }, headers });
            return;
        }
        const offset = this.stream(name).append(value, { atMs });
        if (this.faults.take(name, "loseAppendAnswers")) {
            response.destroy();
            return;
        }
        await this.delayAnswer(name);
        sendJson(response, { status: 201, body: { offset } });
    }

    private async serveRead(name: string, query: URLSearchParams, response: ServerResponse): Promise<void> {
        const from = readParameter(query, { name: "from", fallback: 0 });
        const asked = readParameter(query, { name: "limit", fallback: DEFAULT_PAGE_RECORDS });
        const limit = Math.min(Math.max(asked, 1), MAX_PAGE_RECORDS);
        const waitMs = Math.min(readParameter(query, { name: "waitMs", fallback: 0 }), MAX_WAIT_MS);
        const caller = new AbortController();
        response.once("close", () => caller.abort());
        await this.stream(name).waitFor(from, { waitMs, signal: caller.signal });
        await this.delayAnswer(name);
        if (this.failInOutage(name, response)) {
            return;
        }
        const { repeatRecords } = this.faults.get(name);
        sendJson(response, { status: 200, body: this.stream(name).page(from, { limit, repeatRecords }) });
    }

    private async delayAnswer(name: string): Promise<void> {
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
                throw new BadBodyError(400, String(error));
            }
        }
        sendJson(response, { status: 200, body: this.faults.list() });
    }
}
