import type { ClassTargets, Vm } from "@marigoldstall/core.types";
import { createRoutingState, reduceRouting } from "@marigoldstall/routing.state";
import type { RoutingEffect, RoutingEvent, RoutingState } from "@marigoldstall/routing.state";

type EffectType = RoutingEffect["type"];
type EffectOf<Type extends EffectType> = Extract<RoutingEffect, { readonly type: Type; }>;
type WithoutTime<Event> = Event extends RoutingEvent ? Omit<Event, "atMs" | "random"> : never;

const classOf = (name: string, changes: Partial<ClassTargets>): ClassTargets => ({
    name,
    service: "statusdesk",
    urgency: "urgent",
    repeatable: true,
    lateness: { percentile: 99, withinMs: 250 },
    turnedAwayAtMostPercent: 0.5,
    match: [],
    ...changes,
});

/** Drives the routing reducer in tests and records all effects. */
export class RoutingHarness {
    static readonly classes: readonly ClassTargets[] = [
        classOf("check", {}),
        classOf("issue", { urgency: "normal", repeatable: false }),
        classOf("archive", { urgency: "patient" }),
    ];

    state: RoutingState = createRoutingState({ vmId: "entry-1", availabilityZone: "a" });
    atMs = 1000;
    readonly effects: RoutingEffect[] = [];
    private random = 0.5;

    constructor(serverCount: number, classes: readonly ClassTargets[] = RoutingHarness.classes) {
        this.send({ type: "targets-changed", targets: { site: "s", measuring: { probesPerSecond: 0 }, classes } });
        this.listVms(RoutingHarness.vms(serverCount));
    }

    static vms(count: number): readonly Vm[] {
        return Array.from({ length: count }, (unused, index) => ({
            vmId: `vm-${index}`,
            role: "statusdesk",
            address: `127.0.0.1:${8000 + index}`,
            availabilityZone: index % 2 === 0 ? "a" : "b",
            state: "live",
        }));
    }

    send(event: WithoutTime<RoutingEvent>): readonly RoutingEffect[] {
        // Deterministic numbers, evenly distributed.
        this.random = (this.random + 0.382) % 1;
        const { random } = this;
        const transition = reduceRouting(this.state, { ...event, atMs: this.atMs, random } as RoutingEvent);
        this.state = transition.state;
        this.effects.push(...transition.effects);
        return transition.effects;
    }

    listVms(vms: readonly Vm[], asOfMs = this.atMs): void {
        this.send({ type: "vm-list-read", vmList: { asOfMs, vms } });
    }

    arrive(
        requestId: string,
        className = "check",
        changes: Partial<Extract<RoutingEvent, { type: "request-arrived"; }>> = {},
    ) {
        return this.send({
            type: "request-arrived",
            requestId,
            service: "statusdesk",
            className,
            deadlineAtMs: this.atMs + 30_000,
            callerAttempt: 1,
            bodyReplayable: true,
            ...changes,
        });
    }

    respond(attemptId: string, changes: Partial<Extract<RoutingEvent, { type: "attempt-responded"; }>> = {}) {
        return this.send({
            type: "attempt-responded",
            attemptId,
            statusCode: changes.notRun === true ? 503 : 200,
            instanceId: undefined,
            load: undefined,
            draining: false,
            notRun: false,
            ...changes,
        });
    }

    complete(attemptId: string) {
        return this.send({ type: "attempt-completed", attemptId });
    }

    /** Runs a request to completion and returns the address that it was sent to. */
    runRequest(
        requestId: string,
        changes: Partial<Extract<RoutingEvent, { type: "attempt-responded"; }>> = {},
    ): string {
        this.arrive(requestId);
        const attempt = this.started(requestId).at(-1);
        this.respond(attempt?.attemptId ?? "", changes);
        this.complete(attempt?.attemptId ?? "");
        return attempt?.address ?? "";
    }

    fail(attemptId: string, failure: Extract<RoutingEvent, { type: "attempt-failed"; }>["failure"]) {
        return this.send({ type: "attempt-failed", attemptId, failure });
    }

    tickAfter(durationMs: number) {
        this.atMs += durationMs;
        return this.send({ type: "tick" });
    }

    effectsOf<Type extends EffectType>(type: Type): readonly EffectOf<Type>[] {
        return this.effects.filter((effect): effect is EffectOf<Type> => effect.type === type);
    }

    started(requestId: string): readonly EffectOf<"start-attempt">[] {
        return this.effectsOf("start-attempt").filter(effect => effect.requestId === requestId);
    }

    rejected(requestId: string): EffectOf<"reject-request"> | undefined {
        return this.effectsOf("reject-request").find(effect => effect.requestId === requestId);
    }

    outcomes(requestId: string): readonly string[] {
        return this.effectsOf("finish-request").filter(effect => effect.requestId === requestId).map(({ outcome }) =>
            outcome
        );
    }
}
