import type { EntrySettings } from "@marigoldstall/core.types";
import { type Clock, createClock } from "@marigoldstall/daemon.connections";
import { selectLiveHub } from "@marigoldstall/fleet.hubs";
import { StoreClient } from "@marigoldstall/platform.adapter";
import { setTimeout as sleep } from "node:timers/promises";
import { addGauges } from "./add-gauges.js";
import { BackendPools } from "./backend-pools.js";
import { CallerListener } from "./caller-listener.js";
import type { CallerResources } from "./caller-resources.js";
import { canServeCallers } from "./can-serve-callers.js";
import { createCallerResources } from "./create-caller-resources.js";
import { createEntryState } from "./create-entry-state.js";
import { createIncarnation } from "./create-incarnation.js";
import { EffectRunner } from "./effect-runner.js";
import type { EntryEvent } from "./entry-event.js";
import { EntryMetrics } from "./entry-metrics.js";
import type { EntryState } from "./entry-state.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import { FleetJoiner } from "./fleet-joiner.js";
import { FleetSocket } from "./fleet-socket.js";
import { flushLog } from "./flush-log.js";
import { HealthChecks } from "./health-checks.js";
import { JsonLogger } from "./json-logger.js";
import type { LogOutput } from "./log-output.js";
import { openPort } from "./open-port.js";
import { PauseDetector } from "./pause-detector.js";
import { PeerRpc } from "./peer-rpc.js";
import { ReadinessListener } from "./readiness-listener.js";
import { reduceEntry } from "./reduce-entry.js";
import { RefusedInputs } from "./refused-inputs.js";
import { selectTickDelayMs } from "./select-tick-delay-ms.js";
import { ServerAttempts } from "./server-attempts.js";
import { StoreReader } from "./store-reader.js";
import { toEntryEvent } from "./to-entry-event.js";
import { toRequestEvent } from "./to-request-event.js";

// Answer to a request whose event could not be handled. It was not sent to any server.
const UNHANDLED_REJECTION = { statusCode: 503, reason: "internal-error", retryAfterMs: 200 };

interface EntryDaemonOptions {
    readonly settings: EntrySettings;
    /** Port that serves `/metrics`. If absent, metrics are not served. */
    readonly metricsPort?: number | undefined;
    /** Hedges that are allowed, as a share of the requests of each service. Default: 0. */
    readonly hedgeShare?: number | undefined;
    /** Destination of the log. Default: standard output as a file. */
    readonly output?: LogOutput;
    readonly clock?: Clock;
    readonly reduce?: typeof reduceEntry;
}

/** Runs the load balancer on an entry VM: owns the sockets and timers and executes the effects of the reducer. */
export class EntryDaemon {
    private readonly settings: EntrySettings;
    private readonly metricsPort: number | undefined;
    private readonly clock: Clock;
    private readonly log: JsonLogger;
    private readonly metrics = new EntryMetrics();
    private readonly refusedInputs: RefusedInputs;
    private readonly store: StoreClient;
    private readonly storeReader: StoreReader;
    private readonly peerRpc: PeerRpc;
    private readonly joiner: FleetJoiner;
    private readonly fleetSocket: FleetSocket;
    private readonly pools: BackendPools;
    private readonly healthChecks: HealthChecks;
    private readonly callerResources: CallerResources;
    private readonly callerListener: CallerListener;
    private readonly readinessListener: ReadinessListener;
    private readonly serverAttempts: ServerAttempts;
    private readonly effectRunner: EffectRunner;
    private readonly reduce: typeof reduceEntry;
    private readonly pauseDetector: PauseDetector;
    private ignoreDatagramsUntilMs = -Infinity;
    private state: EntryState;
    private timer: NodeJS.Timeout | undefined;
    private nextTickAtMs = Infinity;
    private isListening = false;
    private isOpeningPorts = false;
    private readonly portsController = new AbortController();
    private isStopped = false;
    private stopRequestedAtMs: number | undefined;
    private shutdownPromise: Promise<void> | undefined;

    constructor(opts: EntryDaemonOptions) {
        const { settings, hedgeShare } = opts;
        this.settings = settings;
        this.metricsPort = opts.metricsPort;
        this.clock = opts.clock ?? createClock();
        const { clock } = this;
        this.reduce = opts.reduce ?? reduceEntry;
        this.pauseDetector = new PauseDetector({ clock });
        const dispatch = (event: EntryEvent): void => {
            this.dispatch(event);
        };
        this.log = new JsonLogger({ vmId: settings.vmId, output: opts.output });
        const { log } = this;
        this.refusedInputs = new RefusedInputs({ metrics: this.metrics, log, nowMs: clock.atMs });
        const { refusedInputs } = this;
        const incarnation = createIncarnation(clock);
        this.state = createEntryState(settings, { atMs: clock.atMs(), incarnation, hedgeShare });
        this.store = new StoreClient({ address: settings.storeAddress });
        this.storeReader = new StoreReader({ store: this.store, log, refusedInputs, nowMs: clock.atMs, dispatch });
        this.peerRpc = new PeerRpc({
            settings,
            nowMs: clock.atMs,
            log,
            refusedInputs,
            state: () => this.state,
            parseConfiguration: text => this.storeReader.parseConfiguration(text),
            dispatch,
        });
        this.joiner = new FleetJoiner({
            settings,
            store: this.store,
            log,
            fetchPeerVms: address => this.peerRpc.fetchVms(address),
            fetchPeerView: address => this.peerRpc.fetchView(address),
            hasHub: () => selectLiveHub(this.state.hub, clock.atMs()) !== undefined,
            isHub: () => this.state.hub.isHub,
            random: () => clock.random(),
            onVmsFound: vms => {
                dispatch({ type: "vms-found", vms });
            },
            onSeedsAsked: () => {
                dispatch({ type: "seeds-asked" });
            },
        });
        this.fleetSocket = new FleetSocket({
            host: settings.host,
            port: settings.fleetPort,
            onMessage: (message, host) => {
                this.metrics.datagrams.inc({ direction: "received", type: message.type });
                this.detectPause();
                if (clock.atMs() < this.ignoreDatagramsUntilMs) {
                    return;
                }
                dispatch(toEntryEvent(message, { host, peerAddress: this.controlAddressOf(host) }));
            },
            onRefused: peer => {
                this.refusedInputs.record("datagram-malformed", { peer });
            },
            onError: (problem, peer) => {
                // Until the port is open, `openPort` logs the errors at a bounded rate.
                if (this.isListening) {
                    log.write("datagram-problem", { problem, peer });
                }
            },
        });
        this.pools = new BackendPools({
            clock,
            onIdleChanged: (instanceId, idleConnections) => {
                dispatch({ type: "idle-connections-changed", instanceId, idleConnections });
            },
            onOpened: () => {
                this.metrics.connectionsOpened.inc();
            },
        });
        this.callerResources = createCallerResources(settings, { refusedInputs, nowMs: clock.atMs });
        this.serverAttempts = new ServerAttempts({
            pools: this.pools,
            metrics: this.metrics,
            refusedInputs,
            clock,
            ...this.callerResources,
            dispatch,
        });
        this.healthChecks = new HealthChecks({ pools: this.pools, metrics: this.metrics, refusedInputs, dispatch });
        this.callerListener = new CallerListener({
            nowMs: clock.atMs,
            ...this.callerResources,
            isStopping: () => this.stopRequestedAtMs !== undefined,
            // A request that the reducer does not know any more has been answered.
            isIdempotent: requestKey => this.state.dispatch.requests.get(requestKey)?.route.isIdempotent ?? true,
            onRequest: (request, receivedAtMs, deadlineMs) => {
                dispatch(toRequestEvent(request, { receivedAtMs, deadlineMs }));
            },
            onCallerLeft: requestKey => {
                dispatch({ type: "caller-left", requestKey });
            },
            onInputRefused: ({ kind, ...failure }, fields) => {
                refusedInputs.record(kind, { ...failure, ...fields });
            },
            onLimited: refusedInputs.record.bind(refusedInputs),
            onFault: (step, error) => {
                this.reportFault(step, error);
            },
        });
        this.readinessListener = new ReadinessListener({ isReady: () => this.isReady });
        this.effectRunner = new EffectRunner({
            metrics: this.metrics,
            log,
            storeReader: this.storeReader,
            peerRpc: this.peerRpc,
            joiner: this.joiner,
            fleetSocket: this.fleetSocket,
            pools: this.pools,
            serverAttempts: this.serverAttempts,
            healthChecks: this.healthChecks,
            callerListener: this.callerListener,
            nowMs: clock.atMs,
            state: () => this.state,
            dispatch,
            reportFault: (step, error) => {
                this.reportFault(step, error);
            },
        });
    }

    /** Opens the ports and joins the fleet. */
    async start(): Promise<void> {
        const { settings } = this;
        const uptimeMs = Math.round(performance.now());
        this.log.write("started", { address: settings.listen.caller, cores: settings.cores, uptimeMs });
        const { caller, ready, control } = settings.listen;
        const open = (name: string, address: string, listen: () => Promise<void>): Promise<void> =>
            openPort(listen, { ...this.portOptions, name, address });
        this.isOpeningPorts = true;
        try {
            await Promise.all([
                open("ready", ready, () => this.readinessListener.listen(ready)),
                open("control", control, () => this.peerRpc.listen()),
                open("fleet", `${settings.host}:${settings.fleetPort}`, () => this.fleetSocket.listen()),
                open("caller", caller, () => this.callerListener.listen(caller)),
            ]);
        }
        catch (error) {
            if (this.portsController.signal.aborted) {
                return;
            }
            throw error;
        }
        finally {
            this.isOpeningPorts = false;
        }
        this.isListening = true;
        this.joiner.join().catch((error: unknown) => {
            // Only a shutdown ends the retries.
            this.log.write("join-ended", { problem: String(error) });
        });
        this.tick();
        if (this.metricsPort !== undefined) {
            addGauges(this.metrics, {
                isReady: () => this.isReady,
                state: () => this.state,
                nowMs: this.clock.atMs,
                connectionCount: () => this.pools.connectionCount,
                callers: { listener: this.callerListener, memory: this.callerResources.memory },
            });
            this.openMetricsPort(`${settings.host}:${this.metricsPort}`);
        }
    }

    // No caller needs the metrics, so the daemon serves without them while their port is in use.
    private openMetricsPort(address: string): void {
        const opts = { ...this.portOptions, name: "metrics", address };
        openPort(() => this.metrics.listen(address), opts).catch((error: unknown) => {
            if (opts.signal.aborted) {
                return;
            }
            this.log.write("metrics-unavailable", { address, problem: String(error) });
        });
    }

    private get portOptions(): Pick<Parameters<typeof openPort>[1], "nowMs" | "log" | "signal"> {
        return { nowMs: this.clock.atMs, log: this.log, signal: this.portsController.signal };
    }

    /** Shuts down gracefully. Further calls return the same promise. */
    stop(): Promise<void> {
        this.shutdownPromise ??= this.shutDown();
        return this.shutdownPromise;
    }

    /** Counts signals of the platform, so that an end can be told from one that the platform asked for. */
    countSignal(signal: "SIGHUP" | "SIGTERM", count = 1): void {
        this.metrics.signals.inc({ signal }, count);
    }

    // Accepts connections until the platform's balancer has taken the VM out of rotation, then completes open requests.
    private async shutDown(): Promise<void> {
        const stopRequestedAtMs = this.clock.atMs();
        this.stopRequestedAtMs = stopRequestedAtMs;
        this.log.write("stopping", { unfinished: this.callerListener.unfinishedCount });
        const endAtMs = stopRequestedAtMs + this.settings.stopGraceMs - ENTRY_TIMINGS.stopMarginMs;
        this.dispatch({ type: "process-stopping", endsAtMs: endAtMs });
        this.portsController.abort();
        // While ports are missing the VM is not in rotation.
        const acceptUntilMs = stopRequestedAtMs + (this.isOpeningPorts ? 0 : ENTRY_TIMINGS.acceptAfterStopMs);
        let isAccepting = true;
        for (;;) {
            const nowMs = this.clock.atMs();
            if (nowMs >= endAtMs) {
                this.dispatch({ type: "process-ending" });
                // The responses leave the process meanwhile.
                await sleep(ENTRY_TIMINGS.stopPollIntervalMs);
                break;
            }
            if (isAccepting && nowMs >= acceptUntilMs) {
                isAccepting = false;
                await this.callerListener.stopListening();
            }
            if (!isAccepting && this.callerListener.closeIfIdle() && this.callerListener.connectionCount === 0) {
                break;
            }
            await sleep(ENTRY_TIMINGS.stopPollIntervalMs);
        }
        this.joiner.stop();
        clearTimeout(this.timer);
        this.isStopped = true;
        this.log.write("stopped", { unfinished: this.callerListener.unfinishedCount });
        await flushLog(this.log);
    }

    private get isReady(): boolean {
        return this.isListening && this.stopRequestedAtMs === undefined
            && canServeCallers(this.state, this.clock.atMs());
    }

    private controlAddressOf(host: string): string {
        const { control } = this.settings.listen;
        return host + control.slice(control.lastIndexOf(":"));
    }

    private dispatch(event: EntryEvent): void {
        this.detectPause();
        this.applyEvent(event);
        this.scheduleTick();
    }

    // An event that cannot be handled leaves the state as it was, and must not end the process with all its requests.
    private applyEvent(event: EntryEvent): void {
        try {
            const opts = { atMs: this.clock.atMs(), random: this.clock.random() };
            const { state, effects } = this.reduce(this.state, event, opts);
            this.state = state;
            for (const effect of effects) {
                this.effectRunner.run(effect);
            }
        }
        catch (error) {
            this.reportFault(event.type, error);
            if (event.type === "request-arrived") {
                this.callerListener.reject(event.requestKey, UNHANDLED_REJECTION);
            }
            else if (event.type === "attempt-answered") {
                this.serverAttempts.discardResponse(event.attemptId);
                const { attemptId } = event;
                this.applyEvent({ type: "attempt-failed", attemptId, failure: "lost", reason: "response-not-handled" });
            }
        }
    }

    /** Logs and counts an error that the daemon did not expect. */
    reportFault(step: string, error: unknown): void {
        this.metrics.eventErrors.inc({ event: step });
        const problem = error instanceof Error ? error.stack ?? error.message : String(error);
        this.log.write("event-failed", { step, problem });
    }

    private detectPause(): void {
        const pause = this.pauseDetector.observe();
        if (pause === undefined) {
            return;
        }
        const { gapMs, uncountedMs } = pause;
        this.ignoreDatagramsUntilMs = this.clock.atMs() + ENTRY_TIMINGS.datagramSettleMs;
        this.log.write("resumed", { gapMs: Math.round(gapMs), uncountedMs: Math.round(uncountedMs) });
        if (uncountedMs > 0) {
            this.applyEvent({ type: "resumed", uncountedMs });
        }
    }

    private scheduleTick(): void {
        if (this.isStopped) {
            return;
        }
        const atMs = this.clock.atMs();
        const delayMs = Math.max(1, selectTickDelayMs(this.state, atMs));
        if (this.nextTickAtMs <= atMs + delayMs) {
            return;
        }
        clearTimeout(this.timer);
        this.nextTickAtMs = atMs + delayMs;
        this.timer = setTimeout(() => {
            this.tick();
        }, delayMs);
    }

    private tick(): void {
        this.nextTickAtMs = Infinity;
        this.dispatch({ type: "tick" });
    }
}
