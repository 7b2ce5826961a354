import { RandomSource } from "@marigoldstall-private/random";
import { createHash, randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { Agent } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { setImmediate as yieldToEventLoop, setTimeout as delay } from "node:timers/promises";
import { v7 } from "uuid";
import type { CallClassSettings } from "./call-class-settings.js";
import type { CallOutcome } from "./call-outcome.js";
import type { CallRecord } from "./call-record.js";
import type { CallResult } from "./call-result.js";
import type { CallerReport } from "./caller-report.js";
import type { CallerSettings } from "./caller-settings.js";
import { checkResponse } from "./check-response.js";
import { sendCall } from "./send-call.js";
import { summarizeClass } from "./summarize-class.js";

const DEFAULT_SETTLE_MS = 10_000;
const DEFAULT_DUPLICATE_WITHIN_MS = 20;
/** Difference between the seeds of two classes, which gives each class its own random sequence. */
const SEED_STEP = 1_000_003;
/** Timers may fire up to this late, so a precise caller polls through the event loop for the remaining time. */
const TIMER_SLACK_MS = 2;

interface Call {
    readonly callClass: CallClassSettings;
    readonly nonce: string;
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
    readonly bodyDigest: string;
    /** Scheduled send time on the monotonic clock. */
    readonly dueAtMs: number;
}

const readOutcome = (headers: IncomingHttpHeaders, status: number | undefined): CallOutcome => {
    const reportedOutcome = headers["marigoldstall-outcome"];
    if (reportedOutcome === "completed" || reportedOutcome === "not-run" || reportedOutcome === "unknown") {
        return reportedOutcome;
    }
    if (status === undefined) {
        return "no-answer";
    }
    // A response without an outcome header comes directly from a backend server.
    if (headers["not-run"] === "true") {
        return "not-run";
    }
    return status < 500 ? "completed" : "unknown";
};

const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
};

/** Open-loop load generator: calls are sent at times derived from the seed, regardless of earlier responses. */
export class Caller {
    private readonly settings: CallerSettings;
    private readonly random: RandomSource;
    private readonly agent = new Agent({ keepAlive: true });
    private readonly callsController = new AbortController();
    private readonly calls: CallRecord[] = [];
    private readonly pending = new Set<Promise<void>>();
    private entries: readonly string[];
    private startedAtMs = 0;
    private stopped = false;

    constructor(opts: CallerSettings) {
        this.settings = opts;
        this.entries = opts.entries;
        this.random = new RandomSource({ seed: opts.seed });
        // Each call in flight adds a listener, so the default limit would print warnings.
        setMaxListeners(0, this.callsController.signal);
    }

    /** Replaces the entry VMs, as the platform's balancer does when an entry VM is no longer ready. */
    setEntries(entries: readonly string[]): void {
        this.entries = entries;
    }

    /** Stops sending calls. `run` resolves when the pending calls have completed or been aborted. */
    stop(): void {
        this.stopped = true;
    }

    /** Sends all calls and waits for their responses. */
    async run(): Promise<CallerReport> {
        this.startedAtMs = performance.now();
        await Promise.all(this.settings.classes.map((callClass, index) => this.runClass(callClass, index)));
        const timerController = new AbortController();
        const settleTimer = delay(this.settings.settleMs ?? DEFAULT_SETTLE_MS, undefined, {
            signal: timerController.signal,
        })
            .then(() => this.callsController.abort(), () => undefined);
        while (this.pending.size > 0) {
            await Promise.all(this.pending);
        }
        timerController.abort();
        await settleTimer;
        this.agent.destroy();
        return {
            seed: this.settings.seed,
            classes: this.settings.classes.map(({ name }) => summarizeClass(this.calls, { name })),
            calls: this.calls,
        };
    }

    private async runClass(callClass: CallClassSettings, index: number): Promise<void> {
        const random = new RandomSource({ seed: this.settings.seed + SEED_STEP * (index + 1) });
        const meanGapMs = 1000 / callClass.ratePerSecond;
        let dueAtMs = this.startedAtMs + meanGapMs * random.exponential();
        while (!this.stopped && dueAtMs < this.startedAtMs + this.settings.durationMs) {
            await this.waitUntil(dueAtMs);
            this.send(callClass, { dueAtMs, duplicate: random.uniform() < (callClass.duplicateShare ?? 0) });
            dueAtMs += meanGapMs * random.exponential();
        }
    }

    private async waitUntil(atMs: number): Promise<void> {
        const slackMs = this.settings.precise === true ? TIMER_SLACK_MS : 0;
        const timerMs = atMs - performance.now() - slackMs;
        if (timerMs >= 1) {
            await delay(timerMs);
        }
        while (performance.now() < atMs) {
            await yieldToEventLoop();
        }
    }

    private send(callClass: CallClassSettings, opts: { readonly dueAtMs: number; readonly duplicate: boolean; }): void {
        const nonce = randomUUID();
        const body = Buffer.alloc(callClass.bodyBytes ?? 0, nonce);
        const call: Call = {
            callClass,
            nonce,
            idempotencyKey: callClass.repeatable ? undefined : v7(),
            body,
            bodyDigest: createHash("sha256").update(body).digest("hex"),
            dueAtMs: opts.dueAtMs,
        };
        const entry = this.pickEntry([]);
        this.track(this.sendCopy(call, { copy: 0, entry }));
        if (opts.duplicate) {
            const duplicateDelayMs = this.random.uniform()
                * (callClass.duplicateWithinMs ?? DEFAULT_DUPLICATE_WITHIN_MS);
            this.track(
                delay(duplicateDelayMs).then(() => this.sendCopy(call, { copy: 1, entry: this.pickEntry([entry]) })),
            );
        }
    }

    private track(promise: Promise<void>): void {
        this.pending.add(promise);
        void promise.finally(() => this.pending.delete(promise));
    }

    /** Selects a random entry VM that is not in `except`, or any entry VM when there is no other. */
    private pickEntry(except: readonly string[]): string {
        const others = this.entries.filter(entry => !except.includes(entry));
        const candidates = others.length > 0 ? others : this.entries;
        return candidates[Math.floor(this.random.uniform() * candidates.length)] ?? this.settings.entries[0];
    }

    private async sendCopy(call: Call, opts: { readonly copy: number; readonly entry: string; }): Promise<void> {
        const { callClass } = call;
        const responseBytes = callClass.responseBytes === undefined ? "" : `&responseBytes=${callClass.responseBytes}`;
        const sentAtMs = performance.now();
        const triedEntries: string[] = [];
        let result: CallResult;
        do {
            const entry = triedEntries.length === 0 ? opts.entry : this.pickEntry(triedEntries);
            triedEntries.push(entry);
            result = await sendCall(entry, {
                agent: this.agent,
                method: callClass.method,
                path: `${callClass.path}?nonce=${call.nonce}${responseBytes}`,
                headers: {
                    ...call.idempotencyKey === undefined ? {} : { "Idempotency-Key": call.idempotencyKey },
                    ...callClass.timeoutMs === undefined ? {} : { "Request-Timeout-Ms": String(callClass.timeoutMs) },
                },
                body: call.body,
                signal: this.callsController.signal,
            });
        }
        while (result.errorCode === "ECONNREFUSED" && triedEntries.length < this.entries.length);
        this.record(call, { result, sentAtMs, copy: opts.copy });
    }

    private record(
        call: Call,
        opts: { readonly result: CallResult; readonly sentAtMs: number; readonly copy: number; },
    ): void {
        const { result } = opts;
        const toUnix = (atMs: number) => performance.timeOrigin + atMs;
        const reason = readHeader(result.headers, "marigoldstall-reason");
        const outcome = readOutcome(result.headers, result.status);
        this.calls.push({
            className: call.callClass.name,
            repeatable: call.callClass.repeatable,
            nonce: call.nonce,
            idempotencyKey: call.idempotencyKey,
            copy: opts.copy,
            entry: result.entry,
            dueAtMs: toUnix(call.dueAtMs),
            sentAtMs: toUnix(opts.sentAtMs),
            latencyMs: performance.now() - call.dueAtMs,
            warmUp: call.dueAtMs < this.startedAtMs + (this.settings.warmUpMs ?? 0),
            outcome,
            status: result.status,
            reason,
            requestId: readHeader(result.headers, "request-id"),
            answer: outcome === "completed" && result.status === 200 && !(reason ?? "").endsWith("RESPONSE_NOT_KEPT")
                ? checkResponse(result.body, { ...call, method: call.callClass.method })
                : "none",
            errorCode: result.errorCode,
            connectionReused: result.connectionReused,
        });
    }
}
