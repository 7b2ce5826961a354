import { sendJson } from "@marigoldstall-private/http";
import { RandomSource } from "@marigoldstall-private/random";
import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { BackendFaultSettings } from "./backend-fault-settings.js";
import type { BackendRecord } from "./backend-record.js";
import type { BackendSettings } from "./backend-settings.js";
import { buildResponseBody } from "./build-response-body.js";
import { Executor } from "./executor.js";
import { FaultSocket } from "./fault-socket.js";
import type { Job } from "./job.js";
import { Listener } from "./listener.js";
import { LoadReporter } from "./load-reporter.js";
import { nowMs } from "./now-ms.js";
import { Recorder } from "./recorder.js";
import type { RefusalReason } from "./refusal-reason.js";
import { sampleServiceTimeMs } from "./sample-service-time-ms.js";
import { serveControl } from "./serve-control.js";

const DEFAULTS = {
    service: "service",
    vmId: "backend-server",
    port: 0,
    seed: 1,
    slots: 2,
    queueLimit: 16,
    maxConnections: 200,
    acceptMs: 1,
    serviceTime: { distribution: "exponential", meanMs: 20 },
    responseBytes: 512,
    coldStart: { forMs: 0, factor: 1 },
} as const;

type CountedFault = "cutAnswers" | "duplicateAnswers" | "loseAnswers";

interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    readonly path: string;
    readonly bodyDigest: string;
}

const readHeader = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
};

/** In-process backend server with faults that can be set at run time. */
export class BackendServer {
    readonly service: string;
    readonly vmId: string;
    private readonly settings: Required<BackendSettings>;
    private readonly random: RandomSource;
    private readonly recorder = new Recorder();
    private readonly loadReporter = new LoadReporter();
    private listener: Listener;
    private executor: Executor;
    private faults: BackendFaultSettings = {};
    private port = 0;
    private startedAtMs = 0;
    private running = false;
    private currentInstanceId = "";

    private constructor(opts: BackendSettings) {
        this.settings = { ...DEFAULTS, ...opts };
        this.service = this.settings.service;
        this.vmId = this.settings.vmId;
        this.random = new RandomSource({ seed: this.settings.seed });
        this.listener = this.createListener();
        this.executor = this.createExecutor();
    }

    static async start(opts: BackendSettings = {}): Promise<BackendServer> {
        const server = new BackendServer(opts);
        await server.open(server.settings.port);
        return server;
    }

    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    /** Id of the current instance. A restart creates a new one. */
    get instanceId(): string {
        return this.currentInstanceId;
    }

    get draining(): boolean {
        return this.recorder.drainingSinceMs !== undefined;
    }

    /** Replaces the injected faults. `{}` clears them. */
    setFaults(faults: BackendFaultSettings): void {
        this.faults = faults;
    }

    /** Silences all current connections permanently, apart from `except`. New connections are not affected. */
    silence(direction: "in" | "out" | "both", opts: { readonly except?: FaultSocket | undefined; } = {}): void {
        this.listener.silence(direction, opts);
    }

    /** Refuses new requests from now on. Queued and running requests are completed. */
    drain(): void {
        this.recorder.drainingSinceMs ??= nowMs();
    }

    /** Stops the instance without sending responses, like a killed process. The record is kept. */
    async crash(): Promise<void> {
        this.running = false;
        this.executor.abandonAll();
        await this.listener.close();
    }

    /** Starts a new instance on the same address. It knows no requests of earlier instances. */
    async restart(): Promise<void> {
        if (this.running) {
            await this.crash();
        }
        this.recorder.drainingSinceMs = undefined;
        this.listener = this.createListener();
        this.executor = this.createExecutor();
        await this.open(this.port);
    }

    record(): BackendRecord {
        return this.recorder.toRecord({ service: this.service, vmId: this.vmId, address: this.address });
    }

    async close(): Promise<void> {
        if (this.running) {
            await this.crash();
        }
    }

    private async open(port: number): Promise<void> {
        this.currentInstanceId = randomUUID();
        this.port = await this.listener.listen(port);
        this.startedAtMs = performance.now();
        this.running = true;
    }

    private createListener(): Listener {
        return new Listener({
            acceptMs: this.settings.acceptMs,
            maxConnections: this.settings.maxConnections,
            onAccept: () => {
                this.recorder.connectionsAccepted += 1;
            },
            onRequest: (request, response) => {
                this.serve(request, response).catch(() => response.destroy());
            },
        });
    }

    private createExecutor(): Executor {
        return new Executor({
            slots: this.settings.slots,
            queueLimit: this.settings.queueLimit,
            onLoadChange: () => this.loadReporter.recordLoad(this.load()),
        });
    }

    private load() {
        const { inFlight, queued } = this.executor;
        return { inFlight, queued, slots: this.settings.slots };
    }

    private isCold(): boolean {
        return performance.now() - this.startedAtMs < this.settings.coldStart.forMs;
    }

    private statusHeaders(): Record<string, string> {
        const { inFlight, queued, slots } = this.loadReporter.report(this.load(), { faults: this.faults });
        return {
            "Instance-Id": this.instanceId,
            "Load-Report": `in-flight=${inFlight}; queued=${queued}; slots=${slots}`,
            ...this.draining ? { "Draining": "true" } : {},
        };
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = request.url ?? "/";
        if (await serveControl(this, { request, response, path })) {
            return;
        }
        const headers = this.statusHeaders();
        if (path === "/_health" && request.method === "GET") {
            this.recorder.recordProbe(path);
            const status = this.draining ? "draining" : this.isCold() ? "starting" : "ok";
            sendJson(response, { status: 200, body: { status }, headers });
        }
        else if (path === "/_load" && request.method === "GET") {
            this.recorder.recordProbe(path);
            const body = this.loadReporter.report(this.load(), { faults: this.faults });
            sendJson(response, { status: 200, body, headers });
        }
        else if (path.startsWith("/_requests/") && request.method === "DELETE") {
            const state = this.executor.cancel(decodeURIComponent(path.slice("/_requests/".length)));
            sendJson(response, { status: 200, body: { state }, headers });
        }
        else {
            await this.serveRequest(request, response);
        }
    }

    private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const receivedAtMs = nowMs();
        const requestId = readHeader(request, "request-id") ?? randomUUID();
        const idempotencyKey = readHeader(request, "idempotency-key");
        const timeoutMs = readHeader(request, "request-timeout-ms");
        const attempt = readHeader(request, "marigoldstall-attempt");
        const path = request.url ?? "/";
        const refuse = (reason: RefusalReason) => {
            this.recorder.recordRefusal({
                requestId,
                idempotencyKey,
                instanceId: this.instanceId,
                atMs: nowMs(),
                reason,
            });
            if (reason !== "crashed" && !response.destroyed) {
                const headers = { ...this.statusHeaders(), "Request-Id": requestId, "Not-Run": "true" };
                sendJson(response, { status: 503, body: { reason }, headers });
            }
        };
        if (this.faults.failFast === true) {
            this.recorder.recordRefusal({
                requestId,
                idempotencyKey,
                instanceId: this.instanceId,
                atMs: receivedAtMs,
                reason: "fail-fast",
            });
            const headers = { ...this.statusHeaders(), "Request-Id": requestId };
            sendJson(response, { status: 500, body: { reason: "fail-fast" }, headers });
            return;
        }
        if (this.draining) {
            refuse("draining");
            return;
        }
        const hash = createHash("sha256");
        let bodyDigest = "";
        let recordEnd: (ending: "finished" | "stopped") => void = () => undefined;
        const job: Job = {
            requestId,
            deadlineAtMs: timeoutMs === undefined ? undefined : performance.now() + Number(timeoutMs),
            onStart: () => {
                recordEnd = this.recorder.recordRun({
                    requestId,
                    idempotencyKey,
                    attempt: attempt === undefined ? undefined : Number(attempt),
                    service: this.service,
                    vmId: this.vmId,
                    instanceId: this.instanceId,
                    method: request.method ?? "",
                    path,
                    bodyDigest,
                    receivedAtMs,
                    startedAtMs: nowMs(),
                    finishedAtMs: undefined,
                    ending: undefined,
                });
                return this.sampleRunMs();
            },
            onFinish: () => {
                recordEnd("finished");
                this.respond({ request, response, requestId, idempotencyKey, path, bodyDigest });
            },
            onStopped: () => {
                recordEnd("stopped");
                response.destroy();
            },
            onRefused: refuse,
        };
        this.executor.receive(job);
        response.once("close", () => {
            if (!response.writableFinished) {
                this.executor.abandon(job, { reason: "caller-gone" });
            }
        });
        for await (const chunk of request as AsyncIterable<Buffer>) {
            hash.update(chunk);
        }
        bodyDigest = hash.digest("hex");
        this.executor.submit(job);
    }

    private sampleRunMs(): number {
        const factor = (this.faults.stragglerFactor ?? 1) * (this.isCold() ? this.settings.coldStart.factor : 1);
        return factor * sampleServiceTimeMs(this.random, { serviceTime: this.settings.serviceTime });
    }

    private consumeFault(kind: CountedFault): boolean {
        const remaining = this.faults[kind] ?? 0;
        this.faults = { ...this.faults, [kind]: Math.max(remaining - 1, 0) };
        return remaining > 0;
    }

    private respond(exchange: Exchange): void {
        if (this.faults.crashAfterRun === true) {
            this.faults = { ...this.faults, crashAfterRun: false };
            void this.crash();
            return;
        }
        const { lateAnswerMs } = this.faults;
        if (lateAnswerMs === undefined) {
            this.sendResponse(exchange);
        }
        else {
            setTimeout(() => this.sendResponse(exchange), lateAnswerMs);
        }
    }

    private sendResponse(exchange: Exchange): void {
        const { request, response, requestId, path, bodyDigest } = exchange;
        if (response.destroyed || this.consumeFault("loseAnswers")) {
            response.destroy();
            return;
        }
        const requestedBytes = new URL(path, "http://backend-server").searchParams.get("responseBytes");
        const body = buildResponseBody(
            { requestId, instanceId: this.instanceId, method: request.method ?? "", path, bodyDigest },
            { bytes: Number(requestedBytes ?? this.settings.responseBytes) },
        );
        response.writeHead(200, {
            ...this.statusHeaders(),
            "Request-Id": requestId,
            "Content-Type": "application/json",
            "Content-Length": body.length,
        });
        const socket = FaultSocket.fromStream(response.socket);
        if (this.consumeFault("cutAnswers")) {
            response.write(body.subarray(0, body.length / 2), () => response.destroy());
        }
        else if (socket !== undefined && this.consumeFault("duplicateAnswers")) {
            socket.startCapture();
            response.end(body, () => socket.replayCapture());
        }
        else {
            response.end(body);
        }
    }
}
