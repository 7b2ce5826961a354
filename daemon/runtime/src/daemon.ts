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
import { CallerPort } from "./caller-port.js";
import { Core } from "./core.js";
import type { DaemonOptions } from "./daemon-options.js";
import { FleetCalls } from "./fleet-calls.js";
import { Metrics } from "./metrics.js";
import { OperatorPort } from "./operator-port.js";
import { RequestPath } from "./request-path.js";
import { runEffect } from "./run-effect.js";
import { selectStatus } from "./select-status.js";
import { startLoops } from "./start-loops.js";

const STOP_POLL_MS = 20;
// After its last request a stopping daemon waits at most this long for claims and hand-overs to settle, and for the
// end of the key times that it governs, which its bounds put up to 6 s, and wrong clocks 2 s more, ahead.
const SETTLE_LIMIT_MS = 10_000;

const sleep = (durationMs: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });

/** One run of marigoldstalld. */
export class Daemon {
    readonly decisions: DecisionLog;
    readonly metrics = new Metrics();
    /** Addresses of the open ports. */
    readonly addresses = { caller: "", control: "", operator: "" };
    private readonly settings: DaemonSettings;
    private readonly opts: DaemonOptions;
    private readonly clock: Clock;
    private readonly incarnation = createUuid();
    private readonly abort = new AbortController();
    private readonly control: RpcServer;
    private readonly operator: OperatorPort;
    private readonly rpc: RpcClient;
    private readonly log: HttpLogClient;
    private readonly vmList: HttpVmListClient;
    private readonly path: RequestPath;
    private readonly fleet: FleetCalls;
    private readonly port: CallerPort;
    private core: Core | undefined;
    private confirmConfiguration = (): void => undefined;
    private portState: "closed" | "opening" | "open" | "stopped" = "closed";
    private portProblem = "the caller port is not open";
    private stopping: Promise<void> | undefined;

    constructor(settings: DaemonSettings, opts: DaemonOptions = {}) {
        this.settings = settings;
        this.opts = opts;
        this.clock = opts.clock ?? createClock();
        this.decisions = opts.decisions ?? new DecisionLog();
        const { clock, metrics } = this;
        const dispatch = (event: RootEventBody): void => {
            this.core?.dispatch(event);
        };
        this.rpc = new RpcClient({ key: settings.security.controlKey });
        this.log = new HttpLogClient({ address: settings.platform.log });
        this.vmList = new HttpVmListClient({ address: settings.platform.vmList });
        this.path = new RequestPath({
            clock,
            metrics,
            dispatch,
            maxConnections: settings.limits.connectionsPerBackendServer,
            port: () => this.port,
        });
        this.fleet = new FleetCalls({ rpc: this.rpc, log: this.log, metrics, dispatch, state: () => this.state });
        this.port = new CallerPort({
            limits: settings.limits,
            clock,
            requestIdPrefix: `${settings.vm.id}-${this.incarnation.slice(-12)}-`,
            hooks: {
                targets: () => this.core?.state.applied?.targets,
                isStopping: () => this.stopping !== undefined,
                arrived: request => {
                    this.path.arrive(request);
                },
                left: request => {
                    dispatch({ type: "request-cancelled", requestId: request.requestId });
                },
                rejected: rejection => {
                    metrics.rejections.inc({ reason: rejection.reasonCode });
                },
            },
        });
        this.control = new RpcServer({
            key: settings.security.controlKey,
            onRefused: reason => {
                metrics.rpcRefusals.inc({ reason });
            },
            methods: {
                ...this.fleet.methods,
                "status.get": () => this.status(),
                "explain.get": params => this.explain(params),
            },
        });
        this.operator = new OperatorPort({
            metrics: () => metrics.registry.metrics(),
            metricsContentType: metrics.registry.contentType,
            reasonsNotReady: () => this.reasonsNotReady(),
        });
    }

    /** State of the reducer; only after {@link start}. */
    get state(): RootState {
        if (this.core === undefined) {
            throw new Error("the daemon has not started");
        }
        return this.core.state;
    }

    /** Opens the operator and control ports and starts to look for a configuration and a VM list. */
    async start(): Promise<void> {
        const { settings, clock } = this;
        const shareOf = await createShareHasher();
        this.addresses.operator = await this.operator.listen(settings.listen.operator);
        this.addresses.control = await this.control.listen(settings.listen.control);
        const core = new Core({
            clock,
            runEffect: effect => {
                runEffect(effect, {
                    path: this.path,
                    fleet: this.fleet,
                    confirmConfiguration: this.confirmConfiguration,
                    record: (concern, decision) => {
                        this.decisions.record(concern, decision, clock.wallMs());
                    },
                });
            },
            onError: (error, event) => {
                this.metrics.eventErrors.inc({ event: event.type });
                this.note(`event ${event.type} failed: ${error instanceof Error ? error.stack : String(error)}`);
                if (event.type === "request-arrived") {
                    this.path.fail(event.request.requestId);
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
        this.core = core;
        this.addGauges();
        this.confirmConfiguration = startLoops({
            log: this.log,
            vmList: this.vmList,
            clock,
            metrics: this.metrics,
            signal: this.abort.signal,
            configurationOffset: () => selectNextOffset(core.state.configuration),
            ownershipOffset: () => selectOwnershipOffset(core.state.ownership),
            dispatch: event => {
                core.dispatch(event);
                this.openCallerPort();
            },
            onTick: () => {
                core.dispatch({ type: "tick", checkAddresses: this.path.checkSilence() });
                this.port.sweep();
            },
            onSecond: () => {
                core.dispatch({ type: "second-tick" });
                this.path.closeIdlePools();
                this.openCallerPort();
            },
        });
        this.note("started");
    }

    /** Graceful shutdown: returns when all requests have finished. Further calls change nothing. */
    stop(): Promise<void> {
        if (this.stopping !== undefined) {
            this.note("asked to stop again; the shutdown goes on as before");
            return this.stopping;
        }
        this.note("stopping");
        this.stopping = this.shutDown();
        return this.stopping;
    }

    private async shutDown(): Promise<void> {
        const core = this.core as Core;
        // Shares are handed over from the bounds that this daemon holds. It stays until their key times are over, as
        // nobody else may decide about them; the notice to the balancer runs meanwhile.
        core.dispatch({ type: "stop-started" });
        await sleep(this.settings.stop.noticeMs);
        if (this.portState === "open") {
            this.port.stopListening();
        }
        this.portState = "stopped";
        let busyAtMs = this.clock.atMs();
        // Requests may still arrive on open connections while claims settle; no connection is closed under one.
        while (
            this.port.openAnswers > 0
            || (this.clock.atMs() - busyAtMs < SETTLE_LIMIT_MS && !this.isSettled(core.state))
        ) {
            await sleep(STOP_POLL_MS);
            if (this.port.openAnswers > 0) {
                busyAtMs = this.clock.atMs();
            }
        }
        this.note("stopped");
        this.abort.abort();
        core.close();
        this.port.closeConnections();
        this.path.close();
        this.rpc.close();
        this.log.close();
        this.vmList.close();
        this.operator.close();
        await this.control.close();
    }

    /** Whether nothing is left that another daemon waits for. */
    private isSettled(state: RootState): boolean {
        const ledger = selectLedgerCounts(state.ledger);
        const ownership = selectOwnershipHealth(state.ownership, this.clock.atMs());
        // Without other daemons nobody is left to ask about the remaining key times.
        const isAlone = (state.membership.members?.length ?? 0) <= 1;
        return ledger.granted === 0 && ledger.settlementsPending === 0
            && (isAlone || (ownership.ownKeyTimesEndMs ?? 0) <= this.clock.wallMs())
            && (ownership.handOversPending === 0 || !ownership.logAvailable);
    }

    private openCallerPort(): void {
        const { state } = this;
        if (this.portState !== "closed" || state.applied === undefined || state.membership.vmList === undefined) {
            return;
        }
        this.portState = "opening";
        this.port.listen(this.settings.listen.caller).then(address => {
            this.addresses.caller = address;
            if (this.portState === "stopped") {
                this.port.stopListening();
                return;
            }
            this.portState = "open";
            this.note(`caller port open at ${address}`);
        }, (error: unknown) => {
            // Tried again each second, as the port may still be held by the process that this one replaces.
            this.portState = this.portState === "stopped" ? "stopped" : "closed";
            this.portProblem = `the caller port cannot be opened: ${String(error)}`;
            this.note(this.portProblem);
        });
    }

    private reasonsNotReady(): readonly string[] {
        const reasons: string[] = [];
        const state = this.core?.state;
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
        if (this.portState !== "open") {
            reasons.push(this.portProblem);
        }
        return reasons;
    }

    private status(): unknown {
        return selectStatus(this.state, {
            atMs: this.clock.atMs(),
            reasonsNotReady: this.reasonsNotReady(),
            stopping: this.stopping !== undefined,
            requestsInFlight: this.port.requests.size,
        });
    }

    private explain(params: unknown): unknown {
        const requestId = (params as { readonly requestId?: unknown; } | undefined)?.requestId;
        return {
            vmId: this.settings.vm.id,
            decisions: typeof requestId === "string" ? this.decisions.findByRequestId(requestId) : [],
        };
    }

    private addGauges(): void {
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
            () => this.port.requests.size,
        );
        metrics.gauge(
            "marigoldstall_backend_connections",
            "Connections to backend servers.",
            () => this.path.connectionCount,
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

    private note(reason: string): void {
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
