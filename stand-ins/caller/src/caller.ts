import { RandomSource } from "@marigoldstall-private/random";
import { createHash, randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { Agent } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { setImmediate as nextTurn, setTimeout as delay } from "node:timers/promises";
import { v7 } from "uuid";
import type { CallClassSettings } from "./call-class-settings.js";
import type { CallOutcome } from "./call-outcome.js";
import type { CallRecord } from "./call-record.js";
import type { CallerReport } from "./caller-report.js";
import type { CallerSettings } from "./caller-settings.js";
import { checkAnswer } from "./check-answer.js";
import { sendCall } from "./send-call.js";
import type { SentCall } from "./sent-call.js";
import { summarizeClass } from "./summarize-class.js";

const DEFAULT_SETTLE_MS = 10_000;
const DEFAULT_DUPLICATE_WITHIN_MS = 20;
/** Keeps the random numbers of the classes apart. */
const SEED_STEP = 1_000_003;
/** Timers fire up to this late, so a precise caller spends the rest of the time in turns of the event loop. */
const TIMER_SLACK_MS = 2;

interface Call {
    readonly callClass: CallClassSettings;
    readonly nonce: string;
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
    readonly bodyDigest: string;
    /** Monotonic time. */
    readonly dueAtMs: number;
}

const readOutcome = (headers: IncomingHttpHeaders, status: number | undefined): CallOutcome => {
    const stated = headers["marigoldstall-outcome"];
    if (stated === "completed" || stated === "not-run" || stated === "unknown") {
        return stated;
    }
    if (status === undefined) {
        return "no-answer";
    }
    // Without a daemon in between, the answer is that of a backend server.
    if (headers["not-run"] === "true") {
        return "not-run";
    }
    return status < 500 ? "completed" : "unknown";
};

const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
};

/** Open-loop caller: calls are due at seeded times, whatever became of earlier ones. */
export class Caller {
    private readonly settings: CallerSettings;
    private readonly random: RandomSource;
    private readonly agent = new Agent({ keepAlive: true });
    private readonly givenUp = new AbortController();
    private readonly calls: CallRecord[] = [];
    private readonly pending = new Set<Promise<void>>();
    private entries: readonly string[];
    private startedAtMs = 0;
    private stopped = false;

    constructor(opts: CallerSettings) {
        this.settings = opts;
        this.entries = opts.entries;
        this.random = new RandomSource({ seed: opts.seed });
        // Each call in flight listens for the end of the run.
        setMaxListeners(0, this.givenUp.signal);
    }

    /** Replaces the entries, as the platform's balancer does when an entry is no longer ready. */
    setEntries(entries: readonly string[]): void {
        this.entries = entries;
    }

    /** Sends no further calls; `run` ends when the calls sent are answered or given up. */
    stop(): void {
        this.stopped = true;
    }

    /** Sends all calls and waits for their answers. */
    async run(): Promise<CallerReport> {
        this.startedAtMs = performance.now();
        await Promise.all(this.settings.classes.map((callClass, index) => this.runClass(callClass, index)));
        const settled = new AbortController();
        const limit = delay(this.settings.settleMs ?? DEFAULT_SETTLE_MS, undefined, { signal: settled.signal })
            .then(() => this.givenUp.abort(), () => undefined);
        while (this.pending.size > 0) {
            await Promise.all(this.pending);
        }
        settled.abort();
        await limit;
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
            await nextTurn();
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
            const laterMs = this.random.uniform() * (callClass.duplicateWithinMs ?? DEFAULT_DUPLICATE_WITHIN_MS);
            this.track(
                delay(laterMs).then(() => this.sendCopy(call, { copy: 1, entry: this.pickEntry([entry]) })),
            );
        }
    }

    private track(sending: Promise<void>): void {
        this.pending.add(sending);
        void sending.finally(() => this.pending.delete(sending));
    }

    /** Picks an entry at random, outside of `except` when there is another one. */
    private pickEntry(except: readonly string[]): string {
        const others = this.entries.filter(entry => !except.includes(entry));
        const candidates = others.length > 0 ? others : this.entries;
        return candidates[Math.floor(this.random.uniform() * candidates.length)] ?? this.settings.entries[0];
    }

    private async sendCopy(call: Call, opts: { readonly copy: number; readonly entry: string; }): Promise<void> {
        const { callClass } = call;
        const responseBytes = callClass.responseBytes === undefined ? "" : `&responseBytes=${callClass.responseBytes}`;
        const sentAtMs = performance.now();
        const tried: string[] = [];
        let sent: SentCall;
        do {
            const entry = tried.length === 0 ? opts.entry : this.pickEntry(tried);
            tried.push(entry);
            sent = await sendCall(entry, {
                agent: this.agent,
                method: callClass.method,
                path: `${callClass.path}?nonce=${call.nonce}${responseBytes}`,
                headers: {
                    ...call.idempotencyKey === undefined ? {} : { "Idempotency-Key": call.idempotencyKey },
                    ...callClass.timeoutMs === undefined ? {} : { "Request-Timeout-Ms": String(callClass.timeoutMs) },
                },
                body: call.body,
                signal: this.givenUp.signal,
            });
        }
        while (sent.errorCode === "ECONNREFUSED" && tried.length < this.entries.length);
        this.record(call, { sent, sentAtMs, copy: opts.copy });
    }

    private record(
        call: Call,
        opts: { readonly sent: SentCall; readonly sentAtMs: number; readonly copy: number; },
    ): void {
        const { sent } = opts;
        const toUnix = (atMs: number) => performance.timeOrigin + atMs;
        const reason = readHeader(sent.headers, "marigoldstall-reason");
        const outcome = readOutcome(sent.headers, sent.status);
        this.calls.push({
            className: call.callClass.name,
            repeatable: call.callClass.repeatable,
            nonce: call.nonce,
            idempotencyKey: call.idempotencyKey,
            copy: opts.copy,
            entry: sent.entry,
            dueAtMs: toUnix(call.dueAtMs),
            sentAtMs: toUnix(opts.sentAtMs),
            latencyMs: performance.now() - call.dueAtMs,
            warmUp: call.dueAtMs < this.startedAtMs + (this.settings.warmUpMs ?? 0),
            outcome,
            status: sent.status,
            reason,
            requestId: readHeader(sent.headers, "request-id"),
            answer: outcome === "completed" && sent.status === 200 && !(reason ?? "").endsWith("RESPONSE_NOT_KEPT")
                ? checkAnswer(sent.body, { ...call, method: call.callClass.method })
                : "none",
            errorCode: sent.errorCode,
            connectionReused: sent.connectionReused,
        });
    }
}
