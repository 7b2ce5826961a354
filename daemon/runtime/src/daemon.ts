import type { DaemonSettings } from "@marigoldstall/config.settings";
import { selectConfigurationHealth, selectNextOffset } from "@marigoldstall/config.versions";
import { DecisionLog } from "@marigoldstall/core.logger";
import { type Clock, createClock } from "@marigoldstall/daemon.connections";
import { createRootState, type RootEventBody, type RootState } from "@marigoldstall/daemon.state";
import {
    createShareHasher,
    selectNextOffset as selectOwnershipOffset,
    selectOwnershipHealth,
} from "@marigoldstall/fleet.ownership";
import { RpcClient, RpcServer } from "@marigoldstall/fleet.rpc";
import { HttpLogClient } from "@marigoldstall/platform.log-client";
import { HttpVmListClient } from "@marigoldstall/platform.vm-list-client";
import { selectLedgerCounts } from "@marigoldstall/requests.ledger";
import { v7 as createUuid } from "uuid";
import { CallerListener } from "./caller-listener.js";
import type { DaemonOptions } from "./daemon-options.js";
import { FleetCalls } from "./fleet-calls.js";
import { Metrics } from "./metrics.js";
import { OperatorListener } from "./operator-listener.js";
import { RequestForwarder } from "./request-forwarder.js";
import { RootStore } from "./root-store.js";
import { runEffect } from "./run-effect.js";
import { selectStatus } from "./select-status.js";
import { startLoops } from "./start-loops.js";

const STOP_POLL_MS = 20;
// Limits how long a stopping daemon waits after its last request for pending claims and handovers and for the end of
// the key times that it governs. These can end 6 s ahead because of its bounds, plus 2 s because of clock skew.
const SETTLE_TIMEOUT_MS = 10_000;

const sleep = (durationMs: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });

/** Daemon process `marigoldstalld`: its ports, clients, reducer state and background loops. */
export class Daemon {
    readonly decisions: DecisionLog;
    readonly metrics = new Metrics();
    /** Bound addresses of the ports, empty until they are open. */
    readonly addresses = { caller: "", control: "", operator: "" };
    private readonly settings: DaemonSettings;
    private readonly opts: DaemonOptions;
    private readonly clock: Clock;
    private readonly incarnation = createUuid();
    private readonly abortController = new AbortController();
    private readonly controlServer: RpcServer;
    private readonly operatorListener: OperatorListener;
    private readonly rpc: RpcClient;
    private readonly log: HttpLogClient;
    private readonly vmList: HttpVmListClient;
    private readonly forwarder: RequestForwarder;
    private readonly fleetCalls: FleetCalls;
    private readonly callerListener: CallerListener;
    private store: RootStore | undefined;
    private confirmConfiguration = (): void => undefined;
    private callerListenerState: "closed" | "opening" | "open" | "stopped" = "closed";
    private callerListenerProblem = "the caller port is not open";
    private stopping: Promise<void> | undefined;

    constructor(settings: DaemonSettings, opts: DaemonOptions = {}) {
        this.settings = settings;
        this.opts = opts;
        this.clock = opts.clock ?? createClock();
        this.decisions = opts.decisions ?? new DecisionLog();
        const { clock, metrics } = this;
        const dispatch = (event: RootEventBody): void => {
            this.store?.dispatch(event);
        };
        this.rpc = new RpcClient({ key: settings.security.controlKey });
        this.log = new HttpLogClient({ address: settings.platform.log });
        this.vmList = new HttpVmListClient({ address: settings.platform.vmList });
        this.forwarder = new RequestForwarder({
            clock,
            metrics,
            dispatch,
            maxConnections: settings.limits.connectionsPerBackendServer,
            callerListener: () => this.callerListener,
        });
        this.fleetCalls = new FleetCalls({ rpc: this.rpc, log: this.log, metrics, dispatch, state: () => this.state });
        this.callerListener = new CallerListener({
            limits: settings.limits,
            clock,
            requestIdPrefix: `${settings.vm.id}-${this.incarnation.slice(-12)}-`,
            hooks: {
                targets: () => this.store?.state.applied?.targets,
                isStopping: () => this.stopping !== undefined,
                onRequest: request => {
                    this.forwarder.handleRequest(request);
                },
                onCallerDisconnected: request => {
                    dispatch({ type: "request-cancelled", requestId: request.requestId });
                },
                onRejected: rejection => {
                    metrics.rejections.inc({ reason: rejection.reasonCode });
                },
            },
        });
        this.controlServer = new RpcServer({
            key: settings.security.controlKey,
            onRefused: reason => {
                metrics.rpcRefusals.inc({ reason });
            },
            methods: {
                ...this.fleetCalls.methods,
                "status.get": () => this.status(),
                "explain.get": params => this.explain(params),
            },
        });
        this.operatorListener = new OperatorListener({
            metrics: () => metrics.registry.metrics(),
            metricsContentType: metrics.registry.contentType,
            reasonsNotReady: () => this.reasonsNotReady(),
        });
    }

    /** State of the root reducer. Throws before {@link start}. */
    get state(): RootState {
        if (this.store === undefined) {
            throw new Error("the state is not available before the daemon has started");
        }
        return this.store.state;
    }

    /** Opens the operator and control ports and starts to read the configuration and the VM list. */
    async start(): Promise<void> {
        const { settings, clock } = this;
        const shareOf = await createShareHasher();
        this.addresses.operator = await this.operatorListener.listen(settings.listen.operator);
        this.addresses.control = await this.controlServer.listen(settings.listen.control);
        const store = new RootStore({
            clock,
            runEffect: effect => {
                runEffect(effect, {
                    forwarder: this.forwarder,
                    fleetCalls: this.fleetCalls,
                    confirmConfiguration: this.confirmConfiguration,
                    logDecision: (concern, decision) => {
                        this.decisions.record(concern, decision, clock.wallMs());
                    },
                });
            },
            onError: (error, event) => {
                this.metrics.eventErrors.inc({ event: event.type });
                this.logLifecycle(
                    `failed to handle event ${event.type}: ${error instanceof Error ? error.stack : String(error)}`,
                );
                if (event.type === "request-arrived") {
                    this.forwarder.fail(event.request.requestId);
                }
            },
            state: createRootState({
                self: {
                    daemon: { vmId: settings.vm.id, incarnation: this.incarnation },
                    address: this.addresses.control,
                    availabilityZone: settings.vm.availabilityZone,
                },
                atMs: clock.atMs(),
                logRetentionMs: settings.platform.logRetentionMs,
                shareOf,
                policy: this.opts.policy,
            }),
        });
        this.store = store;
        this.registerGauges();
        this.confirmConfiguration = startLoops({
            log: this.log,
            vmList: this.vmList,
            clock,
            metrics: this.metrics,
            signal: this.abortController.signal,
            configurationOffset: () => selectNextOffset(store.state.configuration),
            ownershipOffset: () => selectOwnershipOffset(store.state.ownership),
            dispatch: event => {
                store.dispatch(event);
                this.openCallerListener();
            },
            onTick: () => {
                store.dispatch({ type: "tick", checkAddresses: this.forwarder.checkSilentConnections() });
                this.callerListener.enforceTimeouts();
            },
            onSecond: () => {
                store.dispatch({ type: "second-tick" });
                this.forwarder.closeIdleConnections();
                this.openCallerListener();
            },
        });
        this.logLifecycle("started");
    }

    /** Shuts down gracefully and resolves when all requests have finished. Further calls return the same promise. */
    stop(): Promise<void> {
        if (this.stopping !== undefined) {
            this.logLifecycle("stop requested again; the shutdown is already in progress");
            return this.stopping;
        }
        this.logLifecycle("stopping");
        this.stopping = this.shutDown();
        return this.stopping;
    }

    private async shutDown(): Promise<void> {
        const store = this.store as RootStore;
        // The shares are handed over from the bounds that this daemon holds. It keeps running until the key times below
        // these bounds are over, because no other daemon may decide about them. The notice period runs meanwhile.
        store.dispatch({ type: "stop-started" });
        await sleep(this.settings.stop.noticeMs);
        if (this.callerListenerState === "open") {
            this.callerListener.stopListening();
        }
        this.callerListenerState = "stopped";
        let lastBusyAtMs = this.clock.atMs();
        // Requests may still arrive on open connections while claims settle. No connection is closed during a request.
        while (
            this.callerListener.unfinishedResponses > 0
            || (this.clock.atMs() - lastBusyAtMs < SETTLE_TIMEOUT_MS && !this.isSettled(store.state))
        ) {
            await sleep(STOP_POLL_MS);
            if (this.callerListener.unfinishedResponses > 0) {
                lastBusyAtMs = this.clock.atMs();
            }
        }
        this.logLifecycle("stopped");
        this.abortController.abort();
        store.close();
        this.callerListener.closeConnections();
        this.forwarder.close();
        this.rpc.close();
        this.log.close();
        this.vmList.close();
        this.operatorListener.close();
        await this.controlServer.close();
    }

    /** Whether no other daemon depends on this one any more. */
    private isSettled(state: RootState): boolean {
        const ledger = selectLedgerCounts(state.ledger);
        const ownership = selectOwnershipHealth(state.ownership, this.clock.atMs());
        // Without other daemons, nobody can ask about the remaining key times.
        const isAlone = (state.membership.members?.length ?? 0) <= 1;
        return ledger.granted === 0 && ledger.settlementsPending === 0
            && (isAlone || (ownership.ownKeyTimesEndMs ?? 0) <= this.clock.wallMs())
            && (ownership.handoversPending === 0 || !ownership.logAvailable);
    }

    private openCallerListener(): void {
        const { state } = this;
        if (
            this.callerListenerState !== "closed" || state.applied === undefined
            || state.membership.vmList === undefined
        ) {
            return;
        }
        this.callerListenerState = "opening";
        this.callerListener.listen(this.settings.listen.caller).then(address => {
            this.addresses.caller = address;
            if (this.callerListenerState === "stopped") {
                this.callerListener.stopListening();
                return;
            }
            this.callerListenerState = "open";
            this.logLifecycle(`caller port open at ${address}`);
        }, (error: unknown) => {
            // Retried every second, because the process that this one replaces may still hold the port.
            this.callerListenerState = this.callerListenerState === "stopped" ? "stopped" : "closed";
            this.callerListenerProblem = `cannot open the caller port: ${String(error)}`;
            this.logLifecycle(this.callerListenerProblem);
        });
    }

    private reasonsNotReady(): readonly string[] {
        const reasons: string[] = [];
        const state = this.store?.state;
        if (state === undefined) {
            return ["starting"];
        }
        if (this.stopping !== undefined) {
            reasons.push("stopping");
        }
        if (state.membership.vmList === undefined) {
            reasons.push("the VM list was never read");
        }
        const configuration = selectConfigurationHealth(state.configuration, this.clock.atMs());
        if (!configuration.isReady) {
            reasons.push(...configuration.reasons);
        }
        if (this.callerListenerState !== "open") {
            reasons.push(this.callerListenerProblem);
        }
        return reasons;
    }

    private status(): unknown {
        return selectStatus(this.state, {
            atMs: this.clock.atMs(),
            reasonsNotReady: this.reasonsNotReady(),
            stopping: this.stopping !== undefined,
            requestsInFlight: this.callerListener.requests.size,
        });
    }

    private explain(params: unknown): unknown {
        const requestId = (params as { readonly requestId?: unknown; } | undefined)?.requestId;
        return {
            vmId: this.settings.vm.id,
            decisions: typeof requestId === "string" ? this.decisions.findByRequestId(requestId) : [],
        };
    }

    private registerGauges(): void {
        const { metrics } = this;
        const ownership = () => selectOwnershipHealth(this.state.ownership, this.clock.atMs());
        const configuration = () => selectConfigurationHealth(this.state.configuration, this.clock.atMs());
        metrics.gauge(
            "marigoldstall_ready",
            "1 when the daemon is ready, else 0.",
            () => this.reasonsNotReady().length === 0 ? 1 : 0,
        );
        metrics.gauge(
            "marigoldstall_requests_in_flight",
            "Requests of callers that have no whole answer yet.",
            () => this.callerListener.requests.size,
        );
        metrics.gauge(
            "marigoldstall_backend_connections",
            "Connections to backend servers.",
            () => this.forwarder.connectionCount,
        );
        metrics.gauge(
            "marigoldstall_configuration_version",
            "Version of the targets in force, 0 without one.",
            () => this.state.applied?.version ?? 0,
        );
        metrics.gauge(
            "marigoldstall_members",
            "Live daemons known to this one, itself included.",
            () => this.state.membership.members?.length ?? 0,
        );
        metrics.gauge("marigoldstall_shares_owned", "Shares that this daemon owns.", () => ownership().sharesOwned);
        metrics.gauge(
            "marigoldstall_shares_without_term",
            "Shares without a known term.",
            () => ownership().sharesWithoutTerm,
        );
        metrics.gauge(
            "marigoldstall_log_available",
            "1 when both streams of the log can be read, else 0.",
            () => ownership().logAvailable && configuration().isLogAvailable ? 1 : 0,
        );
        metrics.gauge("marigoldstall_vm_list_age_seconds", "Time since the VM list last changed.", () => {
            const { vmList } = this.state.membership;
            return vmList === undefined ? undefined : (this.clock.atMs() - vmList.changedAtMs) / 1_000;
        });
    }

    private logLifecycle(reason: string): void {
        this.decisions.record("daemon", {
            kind: "lifecycle",
            requestId: undefined,
            service: undefined,
            className: undefined,
            candidates: [],
            choice: undefined,
            reason,
        }, this.clock.wallMs());
    }
}
