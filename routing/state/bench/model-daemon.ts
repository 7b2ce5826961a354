import type { Evidence, Pressure, Vm } from "@marigoldstall/core.types";
import type { SelectionPolicyName } from "@marigoldstall/routing.policy";
import {
    createRoutingState,
    reduceRouting,
    selectNextWakeAtMs,
    selectPressure,
    selectProbeCandidates,
} from "@marigoldstall/routing.state";
import type { RoutingEffect, RoutingEvent, RoutingState } from "@marigoldstall/routing.state";
import type { ModelRandom } from "./model-random.js";
import type { ModelServer } from "./model-server.js";
import { ModelSite } from "./model-site.js";
import { ModelWorkload } from "./model-workload.js";

type WithoutTime<Event> = Event extends RoutingEvent ? Omit<Event, "atMs" | "random"> : never;
type ModelRequest = ModelWorkload["requests"][number];
type DaemonOptions = {
    readonly index: number;
    readonly policy: SelectionPolicyName;
    readonly random: ModelRandom;
    readonly onCompleted: (request: ModelRequest, latencyMs: number) => void;
    readonly onEvidence: (evidence: Evidence) => void;
};

const DEADLINE_MS = 30_000;

/** Runs the production routing reducer of one daemon against simulated backend servers. */
export class ModelDaemon {
    attempts = 0;
    private state: RoutingState;
    private readonly site: ModelSite;
    private readonly opts: DaemonOptions;
    private readonly zone: string;
    private readonly requests = new Map<string, ModelRequest>();
    private readonly openAttempts = new Map<string, ModelServer>();
    private wakeAtMs = Infinity;

    constructor(site: ModelSite, opts: DaemonOptions) {
        this.site = site;
        this.opts = opts;
        this.zone = ModelSite.zoneOf(opts.index);
        this.state = createRoutingState({
            vmId: `entry-${opts.index}`,
            availabilityZone: this.zone,
            policy: opts.policy,
        });
        const vms: Vm[] = site.servers.map(server => ({
            vmId: server.address,
            role: "statusdesk",
            address: server.address,
            availabilityZone: server.availabilityZone,
            state: "live",
        }));
        const { classes } = ModelWorkload;
        this.reduce({
            type: "targets-changed",
            targets: { site: "model", measuring: { probesPerSecond: 0 }, classes },
        });
        this.reduce({ type: "vm-list-read", vmList: { asOfMs: 0, vms } });
    }

    receiveRequest(request: ModelRequest): void {
        this.requests.set(request.id, request);
        this.reduce({
            type: "request-arrived",
            requestId: request.id,
            service: request.targets.service,
            className: request.targets.name,
            deadlineAtMs: this.site.events.nowMs + DEADLINE_MS,
            callerAttempt: 1,
            bodyReplayable: true,
        });
    }

    /** Probes the backend server whose information is oldest. */
    probe(): void {
        const [address] = selectProbeCandidates(this.state, this.site.events.nowMs);
        const server = this.site.servers.find(candidate => candidate.address === address);
        if (server === undefined) {
            return;
        }
        const delayMs = this.site.delayMs(this.zone, server);
        this.site.events.schedule(delayMs, () => {
            const down = this.site.isDown(server);
            const load = down ? undefined : server.reportLoad();
            const instanceId = down ? undefined : server.instanceId;
            const { draining } = server;
            this.site.events.schedule(delayMs, () => {
                this.reduce({ type: "load-probed", address: server.address, instanceId, load, draining });
            });
        });
    }

    pressure(): readonly Pressure[] {
        return selectPressure(this.state);
    }

    receive(event: WithoutTime<RoutingEvent>): void {
        this.reduce(event);
    }

    private reduce(event: WithoutTime<RoutingEvent>): void {
        const { events } = this.site;
        const transition = reduceRouting(
            this.state,
            { ...event, atMs: events.nowMs, random: this.opts.random.next() } as RoutingEvent,
        );
        this.state = transition.state;
        for (const effect of transition.effects) {
            this.runEffect(effect);
        }
        const wakeAtMs = selectNextWakeAtMs(this.state) ?? Infinity;
        if (wakeAtMs < this.wakeAtMs && wakeAtMs < Infinity) {
            this.wakeAtMs = wakeAtMs;
            events.schedule(wakeAtMs - events.nowMs, () => {
                if (this.wakeAtMs === wakeAtMs) {
                    this.wakeAtMs = Infinity;
                    this.reduce({ type: "tick" });
                }
            });
        }
    }

    private runEffect(effect: RoutingEffect): void {
        if (effect.type === "start-attempt") {
            this.startAttempt(effect);
        }
        else if (effect.type === "cancel-attempt") {
            const server = this.openAttempts.get(effect.attemptId);
            this.openAttempts.delete(effect.attemptId);
            if (server !== undefined) {
                this.site.events.schedule(this.site.delayMs(this.zone, server), () => server.cancel(effect.attemptId));
            }
        }
        else if (effect.type === "finish-request" && effect.outcome === "completed") {
            const request = this.requests.get(effect.requestId);
            if (request !== undefined) {
                this.opts.onCompleted(request, this.site.events.nowMs - request.atMs);
            }
        }
        else if (effect.type === "publish-evidence") {
            this.opts.onEvidence(effect.evidence);
        }
        if (effect.type === "finish-request") {
            this.requests.delete(effect.requestId);
        }
    }

    private startAttempt(effect: Extract<RoutingEffect, { readonly type: "start-attempt"; }>): void {
        const { attemptId } = effect;
        const server = this.site.servers.find(candidate => candidate.address === effect.address);
        const request = this.requests.get(effect.requestId);
        if (server === undefined || request === undefined) {
            return;
        }
        this.attempts += 1;
        this.openAttempts.set(attemptId, server);
        const delayMs = this.site.delayMs(this.zone, server);
        const reduceAfterDelay = (event: WithoutTime<RoutingEvent>): void => {
            this.site.events.schedule(delayMs, () => {
                if (this.openAttempts.has(attemptId)) {
                    this.reduce(event);
                }
            });
        };
        this.site.events.schedule(delayMs, () => {
            if (this.site.isDown(server)) {
                reduceAfterDelay({ type: "attempt-failed", attemptId, failure: "connect-failed" });
                return;
            }
            const ordinal = Number(attemptId.slice(attemptId.lastIndexOf(".") + 1));
            server.submit({
                id: attemptId,
                serviceMs: request.serviceMs[(ordinal - 1) % request.serviceMs.length] ?? 0,
                onEnd: notRun => {
                    reduceAfterDelay({
                        type: "attempt-responded",
                        attemptId,
                        statusCode: notRun ? 503 : 200,
                        instanceId: server.instanceId,
                        load: server.reportLoad(),
                        draining: server.draining,
                        notRun,
                    });
                    if (!notRun) {
                        reduceAfterDelay({ type: "attempt-completed", attemptId });
                    }
                },
            });
        });
    }
}
