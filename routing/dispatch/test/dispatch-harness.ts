import type { BackendServer, ColdBounds, LoadReport, Route, RoutingConfiguration } from "@marigoldstall/core.types";
import {
    createDispatchState,
    type DispatchEffect,
    type DispatchEvent,
    type DispatchState,
    reduceDispatch,
} from "@marigoldstall/routing.dispatch";

type EffectOf<Type extends DispatchEffect["type"]> = Extract<DispatchEffect, { readonly type: Type; }>;
type Untimed<Event> = Event extends unknown ? Omit<Event, "atMs" | "random"> : never;

interface HarnessOptions {
    readonly servers?: number;
    readonly slots?: number;
    readonly route?: Partial<Route>;
    readonly budgetExtra?: number;
    readonly keyRevocationMs?: number;
    readonly budgetRatio?: number;
    readonly hedgeShare?: number | undefined;
    readonly coldRequestsPerSecond?: number;
    readonly coldBounds?: ColdBounds;
    /** Seed of the random sequence, from 0 to 1. */
    readonly random?: number;
}

const DEFAULT_ROUTE: Route = {
    name: "check",
    host: "parks.example",
    pathPrefix: "/check/",
    isIdempotent: true,
    priority: 2,
    latencyTargetMs: 400,
    timeoutMs: 1_200,
    maxAttempts: 2,
    destinations: [{ service: "one", weight: 1 }],
};

/** Drives the dispatch reducer in a test and records all effects. */
export class DispatchHarness {
    state: DispatchState;
    atMs = 10_000;
    readonly effects: DispatchEffect[] = [];
    /** Whether servers answer preflight checks at once with the load that they reported last. */
    answersChecks = true;
    /** Whether permits for limited servers are granted at once. */
    grantsPermits = true;
    private nextRequest = 1;
    private random: number;
    private readonly coldRequestsPerSecond: number | undefined;

    constructor(opts: HarnessOptions = {}) {
        this.random = opts.random ?? 0.37;
        this.coldRequestsPerSecond = opts.coldRequestsPerSecond;
        this.state = createDispatchState({
            availabilityZone: "east",
            retryBudget: { ratio: opts.budgetRatio ?? 0.2, windowMs: 10_000, extra: opts.budgetExtra ?? 58 },
            keyRevocationMs: opts.keyRevocationMs,
            hedgeShare: opts.hedgeShare,
            coldBounds: opts.coldBounds,
        });
        this.send({ type: "vm-count-changed", vmCount: 1 });
        this.configure([{ ...DEFAULT_ROUTE, ...opts.route }]);
        const count = opts.servers ?? 4;
        const ids = [...Array(count).keys()].map(index => `i-${index}`);
        this.register(ids.map(instanceId => DispatchHarness.server(instanceId, { slots: opts.slots ?? 2 })));
        for (const instanceId of ids) {
            this.send({ type: "idle-connections-changed", instanceId, idleConnections: 1 });
            this.reportLoad(instanceId, {});
        }
    }

    static server(instanceId: string, fields: Partial<BackendServer> = {}): BackendServer {
        return {
            instanceId,
            startedAtUnixMs: 1,
            service: "one",
            address: `${instanceId}:80`,
            availabilityZone: "east",
            slots: 2,
            isDraining: false,
            warmUpMs: 0,
            ...fields,
        };
    }

    static route(fields: Partial<Route>): Route {
        return { ...DEFAULT_ROUTE, ...fields };
    }

    configure(routes: readonly Route[]): void {
        const names = routes.flatMap(route => route.destinations.map(destination => destination.service));
        const configuration: RoutingConfiguration = {
            version: 1,
            limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            routesByHost: new Map([["parks.example", routes]]),
            services: new Map(names.map(name => [name, {
                name,
                healthPath: "/health",
                maxConnections: 220,
                coldRequestsPerSecond: this.coldRequestsPerSecond,
            }])),
        };
        this.send({ type: "configuration-adopted", configuration });
    }

    register(servers: readonly BackendServer[]): void {
        this.send({
            type: "servers-changed",
            changes: servers.map(server => ({ offset: 1, instanceId: server.instanceId, server })),
        });
    }

    /** Sends a load report that is newer than all previous ones. */
    reportLoad(instanceId: string, load: Partial<LoadReport>): void {
        this.atMs += 1;
        const report = { inFlight: 0, queued: 0, slots: 2, slownessPercent: 100, ...load };
        this.send({
            type: "loads-received",
            loads: [{ instanceId, load: report, measuredAtMs: this.atMs }],
            sentRequests: [],
            failures: [],
            vmId: "other-vm",
        });
    }

    arrive(fields: Partial<Extract<DispatchEvent, { readonly type: "request-arrived"; }>> = {}): string {
        const requestKey = String(this.nextRequest);
        this.nextRequest += 1;
        this.send({
            type: "request-arrived",
            requestKey,
            requestId: `id-${requestKey}`,
            host: "parks.example",
            path: "/check/1",
            receivedAtMs: this.atMs,
            deadlineMs: 1_200,
            fingerprint: `fingerprint-${requestKey}`,
            ...fields,
        });
        return requestKey;
    }

    answer(
        attemptId: string,
        fields: Partial<Extract<DispatchEvent, { readonly type: "attempt-answered"; }>> = {},
    ): void {
        this.send({
            type: "attempt-answered",
            attemptId,
            statusCode: 200,
            notRun: false,
            bodyBytes: 400,
            cutsOtherRequests: false,
            load: undefined,
            ...fields,
        });
    }

    fail(attemptId: string, failure: "unsent" | "lost"): void {
        this.send({ type: "attempt-failed", attemptId, failure, reason: "test" });
    }

    advance(durationMs: number, stepMs = 10): void {
        const endAtMs = this.atMs + durationMs;
        while (this.atMs < endAtMs) {
            this.atMs = Math.min(endAtMs, this.atMs + stepMs);
            this.send({ type: "dispatch-tick", probeDueAgeMs: undefined });
        }
    }

    send(event: Untimed<DispatchEvent>): readonly DispatchEffect[] {
        this.random = (this.random * 7.31 + 0.17) % 1;
        const timed = { ...event, atMs: this.atMs, random: this.random } as DispatchEvent;
        const { state, effects } = reduceDispatch(this.state, timed);
        this.state = state;
        this.effects.push(...effects);
        for (const effect of effects) {
            if (effect.type === "check-server" && this.answersChecks) {
                this.answerCheck(effect.attemptId, effect.instanceId);
            }
            else if (effect.type === "request-permit" && this.grantsPermits) {
                const { attemptId, instanceId } = effect;
                this.send({ type: "permit-answered", attemptId, instanceId, isGranted: true, retryAfterMs: 0 });
            }
        }
        return effects;
    }

    private answerCheck(attemptId: string, instanceId: string): void {
        const known = this.state.services.get("one")?.servers.get(instanceId)?.load;
        // The server stated its warm-up once and does not state it again.
        const load: { -readonly [Field in keyof LoadReport]: LoadReport[Field]; } | undefined = known && { ...known };
        delete load?.coldForMs;
        this.send({
            type: "server-checked",
            attemptId,
            isAnswered: true,
            isHealthy: true,
            load,
        });
    }

    effectsOf<Type extends DispatchEffect["type"]>(type: Type): readonly EffectOf<Type>[] {
        return this.effects.filter((effect): effect is EffectOf<Type> => effect.type === type);
    }

    attemptsOf(requestKey: string): readonly EffectOf<"start-attempt">[] {
        return this.effectsOf("start-attempt").filter(effect => effect.requestKey === requestKey);
    }

    lastAttempt(requestKey: string): EffectOf<"start-attempt"> {
        const attempt = this.attemptsOf(requestKey).at(-1);
        if (attempt === undefined) {
            throw new Error(`request ${requestKey} was not sent`);
        }
        return attempt;
    }

    rejectionOf(requestKey: string): EffectOf<"reject-request"> | undefined {
        return this.effectsOf("reject-request").find(effect => effect.requestKey === requestKey);
    }
}
