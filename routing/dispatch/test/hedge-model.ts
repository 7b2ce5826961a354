import type { LoadReport } from "@marigoldstall/core.types";
import { type DispatchEffect, RandomSequence, ServerMap } from "@marigoldstall/routing.dispatch";
import { DispatchHarness } from "./dispatch-harness.js";

interface HedgeModelOptions {
    readonly seed: number;
    readonly hedgeShare: number | undefined;
    readonly requests: number;
    readonly perSecond: number;
    /** Factor by which a server is slower than it reports, at the given time since the start. */
    readonly slowness: (server: number, elapsedMs: number) => number;
    readonly budgetRatio?: number;
    readonly budgetExtra?: number;
    readonly losesCancellations?: boolean;
    /** Share of attempts that end without a response. */
    readonly failShare?: number;
    /** Duration of a preflight check; 0 if it is answered at once. */
    readonly checkMs?: number;
}

interface Job {
    readonly attemptId: string;
    readonly server: number;
    readonly isCheck: boolean;
    readonly endsAtMs: number;
}

const SERVERS = 20;
const SLOTS = 4;
const WORK_MS = 100;
const LOG_DEVIATION = 0.25;
const TICK_MS = 10;
// Period of a hub's probes.
const REPORT_INTERVAL_MS = 50;

/** Seeded queueing model of one VM and the servers of one service, which run the requests of a `DispatchHarness`. */
export class HedgeModel {
    readonly harness: DispatchHarness;
    readonly durationsMs: number[] = [];
    readonly arrivalsAtMs: number[] = [];
    /** Sends in order of time: `send`, `retry` or `hedge`. */
    readonly sends: { readonly kind: string; readonly atMs: number; }[] = [];
    private readonly opts: HedgeModelOptions;
    private readonly random: RandomSequence;
    private readonly startAtMs: number;
    private jobs: Job[] = [];
    private busyMs = 0;

    constructor(opts: HedgeModelOptions) {
        this.opts = opts;
        const { seed, hedgeShare, budgetRatio = 0.2, budgetExtra = 10, checkMs = 0 } = opts;
        this.random = new RandomSequence(seed);
        this.harness = new DispatchHarness({
            servers: SERVERS,
            slots: SLOTS,
            hedgeShare,
            budgetRatio,
            budgetExtra,
            random: seed,
            route: { timeoutMs: 5_000, latencyTargetMs: 1_000 },
        });
        this.harness.answersChecks = checkMs === 0;
        this.startAtMs = this.harness.atMs;
        // Each VM prefers servers of its own. Without preferences, one VM uses them as evenly as a fleet does.
        const { state } = this.harness;
        const services = [...state.services].map(([name, service]) => {
            const servers = [...service.servers].map(([id, server]) => [id, { ...server, preference: 0 }] as const);
            return [name, { ...service, servers: new ServerMap(new Map(servers)) }] as const;
        });
        this.harness.state = { ...state, services: new Map(services) };
    }

    /** Time that servers spent on each request. */
    get workPerRequestMs(): number {
        return this.busyMs / this.opts.requests;
    }

    count(kind: string): number {
        return this.sends.filter(send => send.kind === kind).length;
    }

    run(): this {
        const { harness, opts } = this;
        let arrivesAtMs = this.startAtMs;
        for (let tickAtMs = this.startAtMs; arrivesAtMs < Infinity || this.jobs.length > 0; tickAtMs += TICK_MS) {
            while (Math.min(arrivesAtMs, this.nextEndAtMs()) < tickAtMs) {
                harness.atMs = Math.min(arrivesAtMs, this.nextEndAtMs());
                if (harness.atMs === arrivesAtMs) {
                    this.arrivalsAtMs.push(arrivesAtMs);
                    this.observe(() => harness.arrive({ deadlineMs: 5_000 }));
                    const gapMs = -Math.log(1 - this.random.next()) * 1_000 / opts.perSecond;
                    arrivesAtMs = this.arrivalsAtMs.length < opts.requests ? arrivesAtMs + gapMs : Infinity;
                }
                else {
                    this.end(this.jobs.find(({ endsAtMs }) => endsAtMs === harness.atMs));
                }
            }
            harness.atMs = tickAtMs;
            if ((tickAtMs - this.startAtMs) % REPORT_INTERVAL_MS === 0) {
                this.reportLoads();
            }
            this.observe(() => harness.send({ type: "dispatch-tick", probeDueAgeMs: undefined }));
        }
        return this;
    }

    private nextEndAtMs(): number {
        return Math.min(...this.jobs.map(({ endsAtMs }) => endsAtMs));
    }

    private jobsOf(server: number): readonly Job[] {
        return this.jobs.filter(job => job.server === server && !job.isCheck);
    }

    private loadOf(server: number): LoadReport {
        return { inFlight: this.jobsOf(server).length, queued: 0, slots: SLOTS, slownessPercent: 100 };
    }

    private reportLoads(): void {
        const measuredAtMs = this.harness.atMs;
        const ids = [...Array(SERVERS).keys()];
        const loads = ids.map(id => ({ instanceId: `i-${id}`, load: this.loadOf(id), measuredAtMs }));
        const message = { loads, sentRequests: [], failures: [], vmId: "other-vm" };
        this.observe(() => this.harness.send({ type: "loads-received", ...message }));
    }

    private end(job: Job | undefined): void {
        if (job === undefined) {
            return;
        }
        this.jobs = this.jobs.filter(other => other !== job);
        const { attemptId } = job;
        const load = this.loadOf(job.server);
        this.observe(() => {
            if (job.isCheck) {
                this.harness.send({ type: "server-checked", attemptId, isAnswered: true, isHealthy: true, load });
            }
            else if (this.random.next() < (this.opts.failShare ?? 0)) {
                this.harness.fail(attemptId, "lost");
            }
            else {
                this.harness.answer(attemptId, { load });
            }
        });
    }

    private observe(act: () => void): void {
        act();
        for (const effect of this.harness.effects.splice(0)) {
            this.apply(effect);
        }
    }

    private start(attemptId: string, server: number): void {
        const { atMs } = this.harness;
        // Sum of four uniform numbers as an approximation of the normal distribution.
        const normal = [1, 2, 3, 4].reduce(sum => sum + this.random.next() - 0.5, 0) * Math.sqrt(3);
        const durationMs = WORK_MS * Math.exp(LOG_DEVIATION * normal)
            * this.opts.slowness(server, atMs - this.startAtMs);
        // A server with all slots taken starts the request when the next one is free.
        const ends = this.jobsOf(server).map(({ endsAtMs }) => endsAtMs).sort((a, b) => b - a);
        const startsAtMs = Math.max(atMs, ends[SLOTS - 1] ?? atMs);
        this.jobs.push({ attemptId, server, isCheck: false, endsAtMs: startsAtMs + durationMs });
        this.busyMs += durationMs;
    }

    private apply(effect: DispatchEffect): void {
        const { atMs } = this.harness;
        if (effect.type === "start-attempt") {
            this.start(effect.attemptId, Number(effect.instanceId.slice(2)));
        }
        else if (effect.type === "check-server" && !this.harness.answersChecks) {
            const { attemptId, instanceId } = effect;
            const endsAtMs = atMs + (this.opts.checkMs ?? 0);
            this.jobs.push({ attemptId, server: Number(instanceId.slice(2)), isCheck: true, endsAtMs });
        }
        else if (effect.type === "cancel-attempt" && this.opts.losesCancellations !== true) {
            const cancelled = this.jobs.find(({ attemptId }) => attemptId === effect.attemptId);
            this.busyMs -= Math.max(0, (cancelled?.endsAtMs ?? atMs) - atMs);
            this.jobs = this.jobs.filter(job => job !== cancelled);
        }
        else if (effect.type === "relay-response") {
            this.durationsMs.push(atMs - (this.arrivalsAtMs[Number(effect.requestKey) - 1] ?? atMs));
        }
        else if (effect.type === "log-decision" && ["send", "retry", "hedge"].includes(effect.decision.kind)) {
            this.sends.push({ kind: effect.decision.kind, atMs });
        }
    }
}
