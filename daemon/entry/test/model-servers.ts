import type { LoadReport } from "@marigoldstall/core.types";
import type { EntryEffect } from "@marigoldstall/daemon.entry";
import type { FleetModel } from "./fleet-model.js";
import type { ModelReply } from "./model-reply.js";

const ROUND_TRIP_MS = 3;
const RESPONSE_BYTES = 400;
const COLD_FACTOR = 1.6;

interface ModelServersOptions {
    readonly workMs: number;
    readonly slots: number;
    /** Requests per second that a server says it takes, by its id. */
    readonly limits: ReadonlyMap<string, number>;
    /** From when on the servers state their limits. */
    readonly limitedFromMs: number;
    /** Requests that a server queues. It never answers further ones. Unlimited if not given. */
    readonly queueLength?: number;
}

interface Arrival {
    readonly vmId: string;
    readonly instanceId: string;
    readonly atMs: number;
    readonly tenantName?: string | undefined;
}

interface Run {
    readonly instanceId: string;
    readonly endsAtMs: number;
}

/** Backend servers of the fleet model that run requests, report their load and state limits. */
export class ModelServers {
    /** Requests. */
    readonly arrivals: Arrival[] = [];
    /** Periodic health checks and preflight checks. */
    readonly checks: Arrival[] = [];
    /** Requests that were dropped without an answer. */
    readonly dropped: Arrival[] = [];
    /** Servers that say that they are leaving. */
    readonly leaving = new Set<string>();
    /** Until when a server says that it is cold, by its id. Cold servers are slower. */
    readonly coldUntilMs = new Map<string, number>();
    private runs: Run[] = [];
    private readonly model: FleetModel;
    private readonly opts: ModelServersOptions;

    constructor(model: FleetModel, opts: ModelServersOptions) {
        this.model = model;
        this.opts = opts;
        model.respond = (vmId, effect) => this.respond(vmId, effect);
    }

    private respond(vmId: string, effect: EntryEffect): ModelReply | undefined {
        const { atMs } = this.model;
        switch (effect.type) {
            case "probe-server": {
                const { instanceId } = effect;
                this.checks.push({ vmId, instanceId, atMs });
                const load = this.loadOf(instanceId);
                return {
                    delayMs: ROUND_TRIP_MS,
                    event: { type: "probe-answered", instanceId, isHealthy: true, load },
                };
            }
            case "check-server": {
                const { instanceId, attemptId } = effect;
                this.checks.push({ vmId, instanceId, atMs });
                const load = this.loadOf(instanceId);
                return {
                    delayMs: ROUND_TRIP_MS,
                    event: { type: "server-checked", attemptId, isAnswered: true, isHealthy: true, load },
                };
            }
            case "start-attempt": {
                const { instanceId, attemptId, tenantName } = effect;
                this.arrivals.push({ vmId, instanceId, atMs, tenantName });
                const { slots, queueLength = Infinity } = this.opts;
                if (this.runsAt(instanceId).length >= slots + queueLength) {
                    this.dropped.push({ vmId, instanceId, atMs });
                    return undefined;
                }
                const delayMs = this.run(instanceId);
                return {
                    delayMs: delayMs + ROUND_TRIP_MS,
                    event: {
                        type: "attempt-answered",
                        attemptId,
                        statusCode: 200,
                        notRun: false,
                        bodyBytes: RESPONSE_BYTES,
                        cutsOtherRequests: false,
                        load: undefined,
                        directives: {
                            requestLimitPerSecond: this.limitOf(instanceId),
                            isLeaving: this.leaving.has(instanceId),
                        },
                    },
                };
            }
            default:
                return undefined;
        }
    }

    private limitOf(instanceId: string): number | undefined {
        return this.model.atMs >= this.opts.limitedFromMs ? this.opts.limits.get(instanceId) : undefined;
    }

    private runsAt(instanceId: string): readonly Run[] {
        this.runs = this.runs.filter(({ endsAtMs }) => endsAtMs > this.model.atMs);
        return this.runs.filter(run => run.instanceId === instanceId);
    }

    /** Starts or queues a request and returns how long it takes. */
    private run(instanceId: string): number {
        const { slots } = this.opts;
        const { atMs } = this.model;
        const isCold = (this.coldUntilMs.get(instanceId) ?? -Infinity) > atMs;
        const workMs = this.opts.workMs * (isCold ? COLD_FACTOR : 1);
        const ends = this.runsAt(instanceId).map(({ endsAtMs }) => endsAtMs).sort((a, b) => a - b);
        const startsAtMs = ends.length < slots ? atMs : ends[ends.length - slots] ?? atMs;
        this.runs.push({ instanceId, endsAtMs: startsAtMs + workMs });
        return startsAtMs + workMs - atMs;
    }

    private loadOf(instanceId: string): LoadReport {
        const { slots } = this.opts;
        const count = this.runsAt(instanceId).length;
        const coldUntilMs = this.coldUntilMs.get(instanceId);
        return {
            inFlight: Math.min(count, slots),
            queued: Math.max(0, count - slots),
            slots,
            slownessPercent: 100,
            ...coldUntilMs === undefined ? {} : { coldForMs: Math.max(0, coldUntilMs - this.model.atMs) },
        };
    }
}
