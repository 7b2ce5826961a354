import type { RoutingEffect, RoutingEvent } from "@marigoldstall/routing.state";
import { selectBackendServers } from "@marigoldstall/routing.state";
import { expect } from "chai";
import fc from "fast-check";
import { RoutingHarness } from "./routing-harness.js";

type Failure = Extract<RoutingEvent, { readonly type: "attempt-failed"; }>["failure"];

type AttemptPhase = "open" | "responded" | "cancelling" | "ended";

type Attempt = { readonly requestId: string; readonly address: string; } & {
    state: AttemptPhase;
    mayHaveRun: boolean;
};

const NOT_RUN_FAILURES: readonly Failure[] = ["connect-failed", "connection-stale", "cancel-confirmed"];
const SERVER_COUNT = 6;
const WARM_UP_REQUESTS = 35;
const addressOf = (index: number): string => `127.0.0.1:${8000 + index % SERVER_COUNT}`;

/** One step of a random event sequence. Indexes are taken modulo the number of items that exist at that point. */
const step = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            type: fc.constant("arrive" as const),
            className: fc.constantFrom("check", "check", "issue", "archive"),
            lifeMs: fc.constantFrom(0, 30, 500, 5000, 30_000),
            callerAttempt: fc.constantFrom(1, 1, 1, 2),
            bodyReplayable: fc.constantFrom(true, true, false),
        }),
    },
    {
        weight: 8,
        arbitrary: fc.record({
            type: fc.constant("respond" as const),
            pick: fc.nat(),
            kind: fc.constantFrom("ok", "ok", "ok", "shed", "error", "draining"),
            restarted: fc.constantFrom(false, false, false, false, true),
            inFlight: fc.nat({ max: 3 }),
        }),
    },
    { weight: 8, arbitrary: fc.record({ type: fc.constant("complete" as const), pick: fc.nat() }) },
    {
        weight: 3,
        arbitrary: fc.record({
            type: fc.constant("fail" as const),
            pick: fc.nat(),
            failure: fc.constantFrom(...NOT_RUN_FAILURES, "reset" as const, "silent" as const, "body-cut" as const),
        }),
    },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("cancel" as const), pick: fc.nat() }) },
    { weight: 6, arbitrary: fc.record({ type: fc.constant("tick" as const), durationMs: fc.nat({ max: 400 }) }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("evidence" as const), pick: fc.nat() }) },
    {
        weight: 1,
        arbitrary: fc.record({
            type: fc.constant("list" as const),
            count: fc.nat({ max: SERVER_COUNT }),
            leaving: fc.nat({ max: 12 }),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            type: fc.constant("probe" as const),
            pick: fc.nat(),
            restarted: fc.boolean(),
            draining: fc.constantFrom(false, false, true),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            type: fc.constant("pressure" as const),
            level: fc.double({ min: 0, max: 1, noNaN: true }),
        }),
    },
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Simulates callers, backend servers and peers in random order and checks the invariants after each event. */
export class RandomEventRun {
    static readonly steps = fc.array(step, { minLength: 40, maxLength: 220, size: "max" });

    readonly counts = { retries: 0, hedges: 0, patient: 0, ejected: 0, leaving: 0 };
    private readonly harness = new RoutingHarness(SERVER_COUNT);
    private readonly attempts = new Map<string, Attempt>();
    private readonly requests = new Map<string, { readonly className: string; started: number; endings: string[]; }>();
    private readonly restartCounts = Array.from({ length: SERVER_COUNT }, () => 0);
    private readonly leavingInstances = new Map<string, string>();
    /** Latest instance seen by the daemon, by address. Evidence about another one may refer to a previous one. */
    private readonly observedInstances = new Map<string, string>();
    /** Requests whose last attempt ended before a byte was sent: the next attempt is not a retry. */
    private readonly lastAttemptSentNoBytes = new Set<string>();
    private readonly arrivedAtMs: number[] = [];
    private readonly urgentArrivedAtMs: number[] = [];
    private readonly retriedAtMs: number[] = [];
    private readonly hedgedAtMs: number[] = [];
    private checkedEffects = 0;

    constructor() {
        // Hedging starts when a class has enough latency samples.
        for (let index = 0; index < WARM_UP_REQUESTS; index += 1) {
            this.harness.runRequest(`warm-up-${index}`);
            this.arrivedAtMs.push(this.harness.atMs);
            this.urgentArrivedAtMs.push(this.harness.atMs);
        }
        this.checkedEffects = this.harness.effects.length;
    }

    run(steps: readonly Step[]): void {
        for (const each of steps) {
            this.apply(each);
            this.checkInvariants();
        }
        this.finish();
    }

    private apply(each: Step): void {
        const { harness } = this;
        switch (each.type) {
            case "arrive": {
                const requestId = `r${this.requests.size}`;
                this.requests.set(requestId, { className: each.className, started: 0, endings: [] });
                this.arrivedAtMs.push(harness.atMs);
                if (each.className === "check") {
                    this.urgentArrivedAtMs.push(harness.atMs);
                }
                harness.arrive(requestId, each.className, {
                    deadlineAtMs: harness.atMs + each.lifeMs,
                    callerAttempt: each.callerAttempt,
                    bodyReplayable: each.bodyReplayable,
                });
                return;
            }
            case "respond": {
                const [attemptId, attempt] = this.pickAttempt(["open", "cancelling"], each.pick);
                if (attempt === undefined) {
                    return;
                }
                const instanceId = this.instanceAt(attempt.address, each.restarted);
                this.lastAttemptSentNoBytes.delete(attempt.requestId);
                const notRun = each.kind === "shed" || each.kind === "draining";
                attempt.state = notRun ? "ended" : "responded";
                attempt.mayHaveRun = !notRun;
                this.recordObservation(attempt.address, instanceId, each.kind === "draining");
                harness.respond(attemptId, {
                    instanceId,
                    notRun,
                    draining: each.kind === "draining",
                    statusCode: notRun ? 503 : each.kind === "error" ? 500 : 200,
                    load: { inFlight: each.inFlight, queued: 0, slots: 2 },
                });
                return;
            }
            case "complete": {
                const [attemptId, attempt] = this.pickAttempt(["responded"], each.pick);
                if (attempt !== undefined) {
                    attempt.state = "ended";
                    harness.complete(attemptId);
                }
                return;
            }
            case "fail": {
                const [attemptId, attempt] = this.pickAttempt(["open", "cancelling", "responded"], each.pick);
                if (attempt !== undefined) {
                    const provesNotRun = attempt.state !== "responded" && NOT_RUN_FAILURES.includes(each.failure);
                    attempt.mayHaveRun = !provesNotRun;
                    if (each.failure === "connect-failed" || each.failure === "connection-stale") {
                        this.lastAttemptSentNoBytes.add(attempt.requestId);
                    }
                    else {
                        this.lastAttemptSentNoBytes.delete(attempt.requestId);
                    }
                    harness.fail(attemptId, attempt.state === "responded" ? "body-cut" : each.failure);
                    attempt.state = "ended";
                }
                return;
            }
            case "cancel":
                harness.send({ type: "request-cancelled", requestId: `r${each.pick % (this.requests.size + 1)}` });
                return;
            case "tick":
                harness.tickAfter(each.durationMs);
                return;
            case "evidence": {
                const address = addressOf(each.pick);
                const instanceId = this.instanceAt(address, false);
                if (this.isKnown(address)) {
                    this.leavingInstances.set(address, instanceId);
                }
                this.counts.leaving += 1;
                harness.send({
                    type: "evidence-received",
                    evidence: [{ service: "statusdesk", address, instanceId, kind: "leaving", observedBy: "entry-2" }],
                });
                return;
            }
            case "list": {
                // Every list has the time of the first one, so that none contradicts the evidence.
                const vms = RoutingHarness.vms(SERVER_COUNT).slice(SERVER_COUNT - each.count);
                harness.listVms(
                    vms.map((vm, index) => ({ ...vm, state: index === each.leaving ? "leaving" : "live" })),
                    1000,
                );
                return;
            }
            case "probe": {
                const address = addressOf(each.pick);
                const instanceId = this.instanceAt(address, each.restarted);
                this.recordObservation(address, instanceId, each.draining);
                const load = { inFlight: 0, queued: 0, slots: 2 };
                harness.send({ type: "load-probed", address, instanceId, load, draining: each.draining });
                return;
            }
            case "pressure":
                harness.send({ type: "pressure-received", pressure: [{ service: "statusdesk", level: each.level }] });
                return;
        }
    }

    // Lets all time limits expire, after which no request or attempt may remain.
    private finish(): void {
        for (let round = 0; round < 40; round += 1) {
            for (const [attemptId, attempt] of this.attempts) {
                if (attempt.state === "responded") {
                    attempt.state = "ended";
                    this.harness.complete(attemptId);
                }
            }
            this.harness.tickAfter(1000);
            this.checkInvariants();
        }
        for (const [requestId, { endings }] of this.requests) {
            expect(endings, `endings of ${requestId}`).to.have.length(1);
        }
        for (const [attemptId, { state }] of this.attempts) {
            expect(state, attemptId).to.equal("ended");
        }
        for (const server of selectBackendServers(this.harness.state, this.harness.atMs)) {
            expect(server.ownInFlight, server.address).to.equal(0);
        }
        expect(this.harness.state.services[0]?.patientInFlight, "patient requests in flight").to.equal(0);
        expect(this.harness.state.services[0]?.inFlightIds, "requests in flight").to.deep.equal([]);
        expect(this.harness.state.requests.values(), "remaining requests").to.deep.equal([]);
    }

    private checkInvariants(): void {
        const effects = this.harness.effects.slice(this.checkedEffects);
        this.checkedEffects = this.harness.effects.length;
        for (const effect of effects) {
            this.checkEffect(effect);
        }
        const servers = selectBackendServers(this.harness.state, this.harness.atMs);
        for (const address of this.observedInstances.keys()) {
            if (!servers.some(server => server.address === address)) {
                this.observedInstances.delete(address);
            }
        }
        const remaining = servers.filter(server => server.condition !== "leaving").length;
        const ejectedCount =
            servers.filter(server => server.condition === "ejected" || server.condition === "probation").length;
        expect(ejectedCount, "ejected").to.be.at.most(Math.floor(remaining / 2));
        this.counts.ejected += ejectedCount;
    }

    private checkEffect(effect: RoutingEffect): void {
        const { atMs } = this.harness;
        if (effect.type === "start-attempt") {
            this.checkStart(effect, atMs);
        }
        else if (effect.type === "cancel-attempt") {
            const attempt = this.attempts.get(effect.attemptId);
            if (attempt !== undefined && attempt.state !== "ended") {
                const request = this.requests.get(attempt.requestId);
                const awaitsConfirmation = request?.className === "issue" && attempt.state === "open";
                attempt.state = awaitsConfirmation ? "cancelling" : "ended";
            }
        }
        else if (effect.type === "relay-attempt") {
            expect(this.attempts.get(effect.attemptId)?.requestId, "relayed").to.equal(effect.requestId);
        }
        else if (effect.type === "finish-request") {
            const request = this.requests.get(effect.requestId);
            request?.endings.push(effect.outcome);
            for (const [attemptId, attempt] of this.attempts) {
                if (attempt.requestId === effect.requestId) {
                    attempt.state = attempt.state === "cancelling" ? "ended" : attempt.state;
                    const contradictsOutcome = attempt.mayHaveRun && effect.outcome === "not-run";
                    expect(contradictsOutcome, `${attemptId} may have run, but the outcome is not-run`).to.equal(false);
                }
            }
        }
    }

    private checkStart(effect: Extract<RoutingEffect, { readonly type: "start-attempt"; }>, atMs: number): void {
        const earlier = Array.from(this.attempts.values()).filter(other => other.requestId === effect.requestId);
        const request = this.requests.get(effect.requestId);
        if (request?.className === "issue") {
            expect(earlier.filter(other => other.mayHaveRun), `${effect.attemptId} after an attempt that may have run`)
                .to.be
                .empty;
        }
        const leaving = this.leavingInstances.get(effect.address);
        const applies = leaving !== undefined && (this.observedInstances.get(effect.address) ?? leaving) === leaving;
        expect(applies, `${effect.attemptId} on a leaving instance`).to.equal(false);
        const last = earlier.at(-1);
        if (last !== undefined && earlier.some(other => other.state === "open")) {
            this.hedgedAtMs.push(atMs);
            expect(earlier.map(other => other.address), "hedge to a backend server that already has the request").to.not
                .include(
                    effect.address,
                );
            this.checkBudget(this.hedgedAtMs, this.urgentArrivedAtMs, { share: 0.05, floor: 1 });
            this.counts.hedges += 1;
        }
        else if (last !== undefined && !this.lastAttemptSentNoBytes.has(effect.requestId)) {
            this.retriedAtMs.push(atMs);
            this.checkBudget(this.retriedAtMs, this.arrivedAtMs, { share: 0.1, floor: 3 });
            this.counts.retries += 1;
        }
        if (request?.className === "archive") {
            this.counts.patient += 1;
            const concurrent = Array.from(this.attempts.values()).filter(other =>
                other.address === effect.address && (other.state === "open" || other.state === "responded")
            );
            expect(concurrent, "patient request on a backend server in use").to.be.empty;
        }
        this.attempts.set(effect.attemptId, {
            requestId: effect.requestId,
            address: effect.address,
            state: "open",
            mayHaveRun: true,
        });
    }

    private checkBudget(
        extraAtMs: readonly number[],
        requestsAtMs: readonly number[],
        opts: { readonly share: number; readonly floor: number; },
    ): void {
        const since = this.harness.atMs - 10_000;
        const extra = extraAtMs.filter(atMs => atMs > since).length;
        const requests = requestsAtMs.filter(atMs => atMs > since).length;
        expect(extra, "extra attempts in 10 s").to.be.at.most(Math.max(opts.floor, opts.share * requests));
    }

    private pickAttempt(states: readonly AttemptPhase[], index: number): [string, Attempt | undefined] {
        const open = Array.from(this.attempts).filter(([, { state }]) => states.includes(state));
        return open[index % Math.max(1, open.length)] ?? ["", undefined];
    }

    private instanceAt(address: string, restarted: boolean): string {
        const index = Number(address.slice(-1)) % SERVER_COUNT;
        this.restartCounts[index] = (this.restartCounts[index] ?? 0) + (restarted ? 1 : 0);
        return `${address}/${this.restartCounts[index]}`;
    }

    private isKnown(address: string): boolean {
        return selectBackendServers(this.harness.state, this.harness.atMs).some(server => server.address === address);
    }

    private recordObservation(address: string, instanceId: string, draining: boolean): void {
        if (!this.isKnown(address)) {
            return;
        }
        this.observedInstances.set(address, instanceId);
        if (draining) {
            this.leavingInstances.set(address, instanceId);
            this.counts.leaving += 1;
        }
        else if (this.leavingInstances.has(address) && this.leavingInstances.get(address) !== instanceId) {
            this.leavingInstances.delete(address);
        }
    }
}
