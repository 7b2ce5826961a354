import type { EntrySettings, LoadReport } from "@marigoldstall/core.types";
import { type Clock, createClock } from "@marigoldstall/daemon.connections";
import { decodeServerResponseHead, StoreClient } from "@marigoldstall/platform.adapter";
import { addGauges } from "./add-gauges.js";
import { CallerPort } from "./caller-port.js";
import { createEntryState } from "./create-entry-state.js";
import { createIncarnation } from "./create-incarnation.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";
import { ENTRY_LIMITS } from "./entry-limits.js";
import { EntryMetrics } from "./entry-metrics.js";
import type { EntryState } from "./entry-state.js";
import { FleetJoiner } from "./fleet-joiner.js";
import { FleetSocket } from "./fleet-socket.js";
import { LineLog } from "./line-log.js";
import { PeerCalls } from "./peer-calls.js";
import { ReadyPort } from "./ready-port.js";
import { reduceEntry } from "./reduce-entry.js";
import { selectTickDelayMs } from "./select-tick-delay-ms.js";
import { ServerAttempt } from "./server-attempt.js";
import { ServerPools } from "./server-pools.js";
import type { ServerResponseWhole } from "./server-response-whole.js";
import { StoreReader } from "./store-reader.js";

const STATUS_OK = 200;

interface EntryDaemonOptions {
    readonly settings: EntrySettings;
    /** Port for `/metrics`; none without it. */
    readonly metricsPort?: number | undefined;
    readonly clock?: Clock;
}

/** The daemon of an entry VM. */
export class EntryDaemon {
    private readonly settings: EntrySettings;
    private readonly metricsPort: number | undefined;
    private readonly clock: Clock;
    private readonly log: LineLog;
    private readonly metrics = new EntryMetrics();
    private readonly store: StoreClient;
    private readonly reader: StoreReader;
    private readonly peers: PeerCalls;
    private readonly joiner: FleetJoiner;
    private readonly socket: FleetSocket;
    private readonly pools: ServerPools;
    private readonly callers: CallerPort;
    private readonly readiness: ReadyPort;
    private readonly attempts = new Map<string, ServerAttempt>();
    private readonly responses = new Map<string, ServerResponseWhole>();
    private state: EntryState;
    private timer: NodeJS.Timeout | undefined;
    private wakeAtMs = Infinity;
    private isListening = false;
    private stoppedAtMs: number | undefined;
    private stopping: Promise<void> | undefined;

    constructor(opts: EntryDaemonOptions) {
        const { settings } = opts;
        this.settings = settings;
        this.metricsPort = opts.metricsPort;
        this.clock = opts.clock ?? createClock();
        const { clock } = this;
        const dispatch = (event: EntryEvent): void => {
            this.dispatch(event);
        };
        this.log = new LineLog({ vmId: settings.vmId });
        const { log } = this;
        this.state = createEntryState(settings, { atMs: clock.atMs(), incarnation: createIncarnation(clock) });
        this.store = new StoreClient({ address: settings.storeAddress });
        this.reader = new StoreReader({ store: this.store, log, atMs: clock.atMs, dispatch });
        this.peers = new PeerCalls({
            settings,
            atMs: clock.atMs,
            log,
            state: () => this.state,
            toConfiguration: text => this.reader.toConfiguration(text),
            dispatch,
        });
        this.joiner = new FleetJoiner({
            settings,
            store: this.store,
            log,
            askPeer: address => this.peers.fetchVms(address),
            onFound: vms => {
                dispatch({ type: "vms-found", vms });
            },
        });
        this.socket = new FleetSocket({
            host: settings.host,
            port: settings.fleetPort,
            onMessage: (message, host) => {
                this.metrics.datagrams.inc({ direction: "received" });
                dispatch({ type: "message-received", message, peerAddress: this.controlAddressOf(host) });
            },
            onProblem: (problem, peer) => {
                log.write("datagram-problem", { problem, peer });
            },
        });
        this.pools = new ServerPools({
            clock,
            onIdleChanged: (instanceId, idleConnections) => {
                dispatch({ type: "idle-connections-changed", instanceId, idleConnections });
            },
            onOpened: () => {
                this.metrics.connections.inc();
            },
        });
        this.callers = new CallerPort({
            atMs: clock.atMs,
            isStopping: () => this.stoppedAtMs !== undefined,
            onRequest: (request, receivedAtMs, deadlineMs) => {
                const { requestKey, requestId, message } = request;
                dispatch({
                    type: "request-arrived",
                    requestKey,
                    requestId,
                    host: message.headers.host ?? "",
                    path: message.url ?? "",
                    receivedAtMs,
                    deadlineMs,
                });
            },
            onLeft: requestKey => {
                dispatch({ type: "caller-left", requestKey });
            },
        });
        this.readiness = new ReadyPort({ isReady: () => this.isReady });
    }

    /** Opens the ports and starts to learn what the fleet knows. */
    async start(): Promise<void> {
        const { settings } = this;
        this.log.write("started", { address: settings.listen.caller, cores: settings.cores });
        await Promise.all([
            this.readiness.listen(settings.listen.ready),
            this.peers.listen(),
            this.socket.listen(),
            this.callers.listen(settings.listen.caller),
        ]);
        this.isListening = true;
        void this.joiner.join();
        this.tick();
        if (this.metricsPort !== undefined) {
            addGauges(this.metrics, {
                isReady: () => this.isReady,
                state: () => this.state,
                atMs: this.clock.atMs,
                connectionCount: () => this.pools.connectionCount,
            });
            await this.metrics.listen(`${settings.host}:${this.metricsPort}`);
        }
    }

    /** Graceful shutdown; further calls wait for the same end. */
    stop(): Promise<void> {
        this.stopping ??= this.shutDown();
        return this.stopping;
    }

    reload(): void {
        // Addresses and limits of the machine are fixed for the life of a process.
        this.log.write("reload-ignored", { reason: "no setting changes without a restart" });
    }

    // Takes new connections until the balancer has noticed, and then finishes what was begun.
    private async shutDown(): Promise<void> {
        const stoppedAtMs = this.clock.atMs();
        this.stoppedAtMs = stoppedAtMs;
        this.log.write("stopping", { unfinished: this.callers.unfinishedCount });
        const endAtMs = stoppedAtMs + this.settings.stopGraceMs - ENTRY_LIMITS.stopMarginMs;
        let isAccepting = true;
        for (;;) {
            const nowMs = this.clock.atMs();
            if (nowMs >= endAtMs) {
                break;
            }
            if (isAccepting && nowMs - stoppedAtMs >= ENTRY_LIMITS.stopAcceptMs) {
                isAccepting = false;
                this.callers.stopListening();
            }
            if (!isAccepting && this.callers.closeIfFinished()) {
                break;
            }
            await new Promise(resolve => {
                setTimeout(resolve, ENTRY_LIMITS.stopPollMs);
            });
        }
        this.log.write("stopped", { unfinished: this.callers.unfinishedCount });
        await new Promise<void>(resolve => {
            this.log.flush(resolve);
        });
    }

    private get isReady(): boolean {
        return this.isListening && this.stoppedAtMs === undefined
            && this.state.view.configuration !== undefined && this.state.view.servers.size > 0;
    }

    private controlAddressOf(host: string): string {
        const { control } = this.settings.listen;
        return host + control.slice(control.lastIndexOf(":"));
    }

    private dispatch(event: EntryEvent): void {
        const { state, effects } = reduceEntry(this.state, event, {
            atMs: this.clock.atMs(),
            random: this.clock.random(),
        });
        this.state = state;
        for (const effect of effects) {
            this.run(effect);
        }
        this.scheduleTick();
    }

    private scheduleTick(): void {
        const atMs = this.clock.atMs();
        const delayMs = Math.max(1, selectTickDelayMs(this.state, atMs));
        if (this.wakeAtMs <= atMs + delayMs) {
            return;
        }
        clearTimeout(this.timer);
        this.wakeAtMs = atMs + delayMs;
        this.timer = setTimeout(() => {
            this.tick();
        }, delayMs);
    }

    private tick(): void {
        this.wakeAtMs = Infinity;
        this.dispatch({ type: "tick" });
    }

    private run(effect: EntryEffect): void {
        switch (effect.type) {
            case "read-store":
                this.metrics.storeReads.inc({ topic: effect.topic });
                void (effect.topic === "registrations"
                    ? this.reader.readRegistrations(effect.fromOffset)
                    : this.reader.readConfiguration(effect.fromOffset));
                return;
            case "fetch-view-snapshot":
                void this.peers.fetchSnapshot(effect.peerAddress);
                return;
            case "fetch-peer-configuration":
                void this.peers.fetchConfiguration(effect.peerAddress);
                return;
            case "servers-changed":
                return;
            case "configuration-adopted":
                this.callers.applyLimits(effect.configuration.limits);
                this.log.write("configuration-in-force", { version: effect.configuration.version });
                return;
            case "store-lost":
            case "store-regained": {
                const { type, ...fields } = effect;
                this.log.write(type, fields);
                return;
            }
            case "send-message":
                this.metrics.datagrams.inc({ direction: "sent" }, effect.hosts.length);
                this.socket.send(effect.hosts, effect.message);
                return;
            case "hub-changed":
                this.log.write("hub-changed", { isHub: effect.isHub, silentMs: Math.round(effect.silentMs) });
                return;
            case "start-attempt":
                this.startAttempt(effect);
                return;
            case "check-server":
                this.check(effect);
                return;
            case "cancel-attempt":
                this.attempts.get(effect.attemptId)?.cancel();
                this.attempts.delete(effect.attemptId);
                return;
            case "relay-response": {
                const whole = this.responses.get(effect.attemptId);
                this.responses.delete(effect.attemptId);
                if (whole !== undefined) {
                    this.callers.relay(effect.requestKey, whole);
                }
                return;
            }
            case "discard-response":
                this.responses.delete(effect.attemptId);
                return;
            case "reject-request":
                this.callers.reject(effect.requestKey, effect);
                return;
            case "probe-server":
                this.probe(effect);
                return;
            case "close-connections":
                this.pools.forget(effect.instanceId);
                return;
            case "log-decision":
                this.logDecision(effect);
                return;
        }
    }

    private logDecision(effect: Extract<EntryEffect, { readonly type: "log-decision"; }>): void {
        const { kind, requestId, service, instanceId, reason, inputs } = effect.decision;
        this.metrics.decisions.inc({ kind, reason: reason ?? "" });
        if (kind === "answer" && typeof inputs["totalMs"] === "number") {
            this.metrics.answers.observe({ service: service ?? "" }, inputs["totalMs"] / 1_000);
        }
        this.log.write(kind, { requestId, service, instanceId, reason, ...inputs });
    }

    private startAttempt(effect: Extract<EntryEffect, { readonly type: "start-attempt"; }>): void {
        const { attemptId, requestKey, instanceId, address } = effect;
        const request = this.callers.find(requestKey);
        if (request === undefined) {
            return;
        }
        const attempt = new ServerAttempt({
            effect,
            request,
            pool: this.pools.get(instanceId, address),
            clock: this.clock,
            onAnswered: ({ whole, notRun, load }) => {
                this.attempts.delete(attemptId);
                this.metrics.attempts.inc({ result: notRun ? "not-run" : "answered" });
                this.responses.set(attemptId, whole);
                this.dispatch({
                    type: "attempt-answered",
                    attemptId,
                    statusCode: whole.statusCode,
                    notRun,
                    bodyBytes: whole.body.length,
                    load,
                });
            },
            onFailed: (failure, reason) => {
                this.attempts.delete(attemptId);
                this.metrics.attempts.inc({ result: failure });
                this.dispatch({ type: "attempt-failed", attemptId, failure, reason });
            },
        });
        this.attempts.set(attemptId, attempt);
        attempt.start();
    }

    private probe(effect: Extract<EntryEffect, { readonly type: "probe-server"; }>): void {
        const { instanceId } = effect;
        this.askHealth(effect, { timeoutMs: ENTRY_LIMITS.probeTimeoutMs }, answer => {
            this.dispatch(
                answer === undefined
                    ? { type: "probe-failed", instanceId }
                    : { type: "probe-answered", instanceId, ...answer },
            );
        });
    }

    private check(effect: Extract<EntryEffect, { readonly type: "check-server"; }>): void {
        const { attemptId } = effect;
        this.askHealth(effect, { timeoutMs: ENTRY_LIMITS.checkTimeoutMs }, answer => {
            this.dispatch({
                type: "server-checked",
                attemptId,
                isAnswered: answer !== undefined,
                isHealthy: answer?.isHealthy === true,
                load: answer?.load,
            });
        });
    }

    private askHealth(
        server: { readonly instanceId: string; readonly address: string; readonly healthPath: string; },
        opts: { readonly timeoutMs: number; },
        callback: (answer: { readonly isHealthy: boolean; readonly load: LoadReport | undefined; } | undefined) => void,
    ): void {
        const { instanceId, address, healthPath } = server;
        this.pools.get(instanceId, address).exchange({
            method: "GET",
            path: healthPath,
            timeoutMs: opts.timeoutMs,
            mode: "any",
        }, result => {
            // Another instance may have taken over the address; what it says is not about this one.
            const isAnswered = result?.instanceId === instanceId;
            this.metrics.probes.inc({ result: isAnswered ? "answered" : "failed" });
            if (result === undefined || !isAnswered) {
                callback(undefined);
                return;
            }
            const { load } = decodeServerResponseHead(result.statusCode, result.headers);
            callback({ isHealthy: result.statusCode === STATUS_OK, load });
        });
    }
}
