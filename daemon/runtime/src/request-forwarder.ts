import type { Outcome } from "@marigoldstall/core.types";
import { BackendPool, type Clock, singleHeader } from "@marigoldstall/daemon.connections";
import type { RootEffect, RootEventBody } from "@marigoldstall/daemon.state";
import { createHash } from "node:crypto";
import type { AttemptListener } from "./attempt-listener.js";
import { Attempt } from "./attempt.js";
import type { CallerListener } from "./caller-listener.js";
import type { CallerRequest } from "./caller-request.js";
import { FINGERPRINT_BYTES } from "./fingerprint-bytes.js";
import type { Metrics } from "./metrics.js";
import { parseLoadReport } from "./parse-load-report.js";
import { writeLocalResponse } from "./write-local-response.js";
import { writeStoredResponse } from "./write-stored-response.js";

type EffectOf<Type extends RootEffect["type"]> = Extract<RootEffect, { readonly type: Type; }>;

const PROBE_TIMEOUT_MS = 1_000;
const IDLE_CONNECTION_LIMIT_MS = 4_000;
// VMs are replaced all the time, so pools of unused addresses have to be removed.
const UNUSED_POOL_LIMIT_MS = 600_000;

/** Forwards requests from the caller listener to backend servers and relays the responses, as the reducer decides. */
export class RequestForwarder {
    private readonly clock: Clock;
    private readonly metrics: Metrics;
    private readonly maxConnections: number;
    private readonly dispatch: (event: RootEventBody) => void;
    private readonly callerListener: () => CallerListener;
    private readonly pools = new Map<string, BackendPool>();
    private readonly attempts = new Map<string, Attempt>();
    private readonly listener: AttemptListener;

    constructor(opts: {
        readonly clock: Clock;
        readonly metrics: Metrics;
        readonly maxConnections: number;
        readonly dispatch: (event: RootEventBody) => void;
        readonly callerListener: () => CallerListener;
    }) {
        this.clock = opts.clock;
        this.metrics = opts.metrics;
        this.maxConnections = opts.maxConnections;
        this.dispatch = opts.dispatch;
        this.callerListener = opts.callerListener;
        this.listener = {
            onResponded: attempt => {
                this.onResponded(attempt);
            },
            onCompleted: attempt => {
                this.removeAttempt(attempt, "completed");
                this.dispatch({
                    type: "attempt-completed",
                    requestId: attempt.request.requestId,
                    attemptId: attempt.effect.attemptId,
                    response: attempt.request.storedResponse,
                });
            },
            onFailed: (attempt, failure) => {
                this.removeAttempt(attempt, failure);
                this.dispatch({ type: "attempt-failed", attemptId: attempt.effect.attemptId, failure });
            },
        };
    }

    get connectionCount(): number {
        let count = 0;
        for (const pool of this.pools.values()) {
            count += pool.connectionCount;
        }
        return count;
    }

    /** Dispatches a request that the caller listener accepted. */
    handleRequest(request: CallerRequest): void {
        const { idempotencyKey, targets } = request;
        this.dispatch({
            type: "request-arrived",
            request: {
                requestId: request.requestId,
                service: request.service,
                className: targets.name,
                deadlineAtMs: request.deadlineAtMs,
                callerAttempt: request.callerAttempt,
                bodyReplayable: request.bodyComplete,
                claim: idempotencyKey === undefined || targets.repeatable
                    ? undefined
                    : { key: idempotencyKey, fingerprint: this.computeFingerprint(request) },
            },
        });
    }

    startAttempt(effect: EffectOf<"start-attempt">): void {
        const request = this.callerListener().requests.get(effect.requestId);
        if (request === undefined) {
            this.dispatch({ type: "attempt-failed", attemptId: effect.attemptId, failure: "connection-stale" });
            return;
        }
        const { clock, listener } = this;
        const attempt = new Attempt({ effect, request, clock, listener, pool: this.getPool(effect.address) });
        this.attempts.set(effect.attemptId, attempt);
        attempt.start();
    }

    relay(effect: EffectOf<"relay-attempt">): void {
        this.attempts.get(effect.attemptId)?.relay();
    }

    cancelAttempt(effect: EffectOf<"cancel-attempt">): void {
        const attempt = this.attempts.get(effect.attemptId);
        if (attempt !== undefined) {
            this.removeAttempt(attempt, "cancelled");
            attempt.cancel();
        }
    }

    reject(effect: EffectOf<"reject-request">): void {
        const request = this.callerListener().requests.get(effect.requestId);
        if (request !== undefined) {
            this.metrics.rejections.inc({ reason: effect.reasonCode });
            this.answer(request, effect);
        }
    }

    answerCaller(effect: EffectOf<"answer-caller">): void {
        const request = this.callerListener().requests.get(effect.requestId);
        if (request === undefined) {
            return;
        }
        if (effect.response !== undefined && !request.callerDisconnected && !request.response.headersSent) {
            const { requestId, reasonCode } = effect;
            writeStoredResponse(request.response, { requestId, stored: effect.response, reasonCode });
            this.end(request, effect.outcome);
            return;
        }
        const reasonCode = effect.reasonCode ?? "ERR_MARIGOLDSTALL_ANSWERED_FROM_LEDGER";
        this.metrics.rejections.inc({ reason: reasonCode });
        this.answer(request, { ...effect, reasonCode });
    }

    finish(effect: EffectOf<"finish-request">): void {
        const request = this.callerListener().requests.get(effect.requestId);
        if (request === undefined) {
            return;
        }
        if (effect.outcome === "completed") {
            if (!request.callerDisconnected) {
                request.response.end();
            }
            this.end(request, "completed");
            return;
        }
        this.answer(request, {
            outcome: effect.outcome,
            statusCode: 502,
            reasonCode: "ERR_MARIGOLDSTALL_RESPONSE_CUT",
            retryAfterMs: undefined,
        });
    }

    /** Answers a request that the reducer failed to handle. Whether it ran is unknown. */
    fail(requestId: string): void {
        const request = this.callerListener().requests.get(requestId);
        if (request !== undefined) {
            const reasonCode = "ERR_MARIGOLDSTALL_INTERNAL";
            this.answer(request, { outcome: "unknown", statusCode: 500, reasonCode, retryAfterMs: undefined });
        }
    }

    closeConnections(address: string): void {
        this.pools.get(address)?.closeIdle({ olderThanMs: 0 });
    }

    /** Probes a backend server within the time that its probe unit allows. */
    sendProbe(effect: EffectOf<"send-probe">): void {
        const { address } = effect;
        const pool = this.getPool(address);
        const silent = this.findSilentAttempts().filter(attempt => attempt.pool === pool);
        const path = silent.length > 0 ? "/_health" : "/_load";
        pool.exchange({
            method: "GET",
            path,
            timeoutMs: PROBE_TIMEOUT_MS,
            mode: silent.length > 0 ? "new" : "any",
            shouldSend: () => this.clock.atMs() <= effect.notAfterAtMs && this.clock.wallMs() < effect.beforeWallMs,
        }, result => {
            this.metrics.probes.inc({ result: result?.statusCode === 200 ? "answered" : "failed" });
            const body = (result?.statusCode === 200 ? result.parseBody() : undefined) as
                | Partial<Record<"status" | "inFlight" | "queued" | "slots", unknown>>
                | undefined;
            const { inFlight, queued, slots } = body ?? {};
            this.dispatch({
                type: "load-probed",
                address,
                instanceId: result?.instanceId,
                load: typeof inFlight === "number" && typeof queued === "number" && typeof slots === "number"
                    ? { inFlight, queued, slots }
                    : undefined,
                draining: body?.status === "draining",
            });
            if (result !== undefined) {
                for (const attempt of silent) {
                    if (attempt.silentMs(this.clock.atMs()) > 0) {
                        attempt.closeSilent();
                    }
                }
            }
        });
    }

    /**
     * Closes stalled connections, and silent ones whose backend server has sent bytes on another connection meanwhile.
     * Returns the addresses of the other silent connections, which have to be probed.
     */
    checkSilentConnections(): readonly string[] {
        const addresses = new Set<string>();
        const nowMs = this.clock.atMs();
        for (const attempt of [...this.attempts.values()]) {
            if (attempt.isStalled(nowMs)) {
                attempt.closeStalled();
            }
        }
        for (const attempt of this.findSilentAttempts()) {
            const limitReachedAtMs = nowMs - attempt.silentMs(nowMs) + attempt.effect.silenceLimitMs;
            if (attempt.pool.lastReceivedAtMs > limitReachedAtMs) {
                attempt.closeSilent();
            }
            else {
                addresses.add(attempt.pool.address);
            }
        }
        return [...addresses];
    }

    /** Closes idle connections before the backend servers do, and removes pools that have been unused for long. */
    closeIdleConnections(): void {
        const nowMs = this.clock.atMs();
        for (const pool of this.pools.values()) {
            pool.closeIdle({ olderThanMs: IDLE_CONNECTION_LIMIT_MS });
            if (pool.connectionCount === 0 && nowMs - pool.lastAcquiredAtMs > UNUSED_POOL_LIMIT_MS) {
                this.pools.delete(pool.address);
            }
        }
    }

    close(): void {
        for (const pool of this.pools.values()) {
            pool.closeAll();
        }
    }

    private findSilentAttempts(): readonly Attempt[] {
        const nowMs = this.clock.atMs();
        const silent: Attempt[] = [];
        for (const attempt of this.attempts.values()) {
            if (attempt.silentMs(nowMs) >= attempt.effect.silenceLimitMs) {
                silent.push(attempt);
            }
        }
        return silent;
    }

    private onResponded(attempt: Attempt): void {
        const response = attempt.response;
        if (response === undefined) {
            return;
        }
        const { headers } = response;
        this.dispatch({
            type: "attempt-responded",
            attemptId: attempt.effect.attemptId,
            statusCode: response.statusCode ?? 0,
            instanceId: singleHeader(headers["instance-id"]),
            load: parseLoadReport(singleHeader(headers["load-report"])),
            draining: headers["draining"] === "true",
            notRun: response.statusCode === 503 && headers["not-run"] === "true",
        });
    }

    private removeAttempt(attempt: Attempt, result: string): void {
        if (this.attempts.delete(attempt.effect.attemptId)) {
            this.metrics.attempts.inc({ service: attempt.effect.service, result });
        }
    }

    private answer(request: CallerRequest, opts: {
        readonly outcome: Outcome;
        readonly statusCode: number;
        readonly reasonCode: string;
        readonly retryAfterMs: number | undefined;
    }): void {
        const { response, requestId } = request;
        this.end(request, opts.outcome);
        if (request.callerDisconnected) {
            return;
        }
        if (response.headersSent) {
            // Part of a response was sent. Only closing the connection tells the caller that it is incomplete.
            response.destroy();
            return;
        }
        if (!request.message.complete) {
            response.shouldKeepAlive = false;
        }
        writeLocalResponse(response, { ...opts, requestId });
    }

    private end(request: CallerRequest, outcome: Outcome): void {
        this.callerListener().finish(request);
        const metrics = this.metrics.forClass(request.targets);
        metrics.count(outcome);
        if (outcome === "completed") {
            metrics.observe((this.clock.atMs() - request.arrivedAtMs) / 1_000);
        }
    }

    private computeFingerprint(request: CallerRequest): string {
        const hash = createHash("sha256").update(`${request.message.method}\n${request.path}\n`);
        let remainingBytes = FINGERPRINT_BYTES;
        for (const chunk of request.chunks) {
            hash.update(chunk.length > remainingBytes ? chunk.subarray(0, remainingBytes) : chunk);
            remainingBytes = Math.max(0, remainingBytes - chunk.length);
        }
        return hash.digest("hex");
    }

    private getPool(address: string): BackendPool {
        let pool = this.pools.get(address);
        if (pool === undefined) {
            pool = new BackendPool({ address, maxConnections: this.maxConnections, clock: this.clock });
            this.pools.set(address, pool);
        }
        return pool;
    }
}
