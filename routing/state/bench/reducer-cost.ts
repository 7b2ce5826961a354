// Measures the CPU time of the routing reducer per request: npx tsx routing/state/bench/reducer-cost.ts
import type { ClassTargets, Vm } from "@marigoldstall/core.types";
import { createRoutingState, reduceRouting, selectNextWakeAtMs } from "@marigoldstall/routing.state";
import type { RoutingEvent, RoutingState } from "@marigoldstall/routing.state";
import { ModelRandom } from "./model-random.js";

const SEED = 7;
const WARM_UP_REQUESTS = 20_000;
const REQUESTS = 50_000;
const MAX_OPEN_ATTEMPTS = 12;

const classOf = (service: string): ClassTargets => ({
    name: "check",
    service,
    urgency: "urgent",
    repeatable: true,
    lateness: { percentile: 99, withinMs: 250 },
    turnedAwayAtMostPercent: 0.5,
    match: [],
});

const vmsOf = (service: string, count: number, from: number): readonly Vm[] =>
    Array.from({ length: count }, (unused, index) => ({
        vmId: `${service}-${index}`,
        role: service,
        address: `127.0.0.1:${from + index}`,
        availabilityZone: `zone-${index % 3}`,
        state: "live",
    }));

const measure = (servers: number, otherServices: number): void => {
    const random = new ModelRandom(SEED);
    let atMs = 1000;
    let events = 0;
    let state: RoutingState = createRoutingState({ vmId: "entry-1", availabilityZone: "zone-0" });
    let openAttemptIds: readonly string[] = [];
    const send = (event: RoutingEvent): void => {
        events += 1;
        const transition = reduceRouting(state, event);
        state = transition.state;
        for (const effect of transition.effects) {
            if (effect.type === "start-attempt") {
                openAttemptIds = [...openAttemptIds, effect.attemptId];
            }
            else if (effect.type === "cancel-attempt") {
                openAttemptIds = openAttemptIds.filter(attemptId => attemptId !== effect.attemptId);
            }
        }
    };
    const others = Array.from({ length: otherServices }, (unused, index) => `service-${index}`);
    const classes = ["statusdesk", ...others].map(classOf);
    const vms = [
        vmsOf("statusdesk", servers, 10_000),
        ...others.map((name, index) => vmsOf(name, 35, 20_000 + index * 35)),
    ];
    send({ type: "targets-changed", atMs, targets: { site: "bench", measuring: { probesPerSecond: 0 }, classes } });
    send({ type: "vm-list-read", atMs, vmList: { asOfMs: 0, vms: vms.flat() } });
    const runRequest = (index: number): void => {
        atMs += 0.8;
        const wakeAtMs = selectNextWakeAtMs(state);
        if (wakeAtMs !== undefined && wakeAtMs <= atMs) {
            send({ type: "tick", atMs, random: random.next() });
        }
        send({
            type: "request-arrived",
            atMs,
            random: random.next(),
            requestId: `0193a0c1-5b1e-7c3a-9d2f-${index}`,
            service: "statusdesk",
            className: "check",
            deadlineAtMs: atMs + 30_000,
            callerAttempt: 1,
            bodyReplayable: true,
        });
        const attemptId = openAttemptIds.length > MAX_OPEN_ATTEMPTS
            ? openAttemptIds[Math.floor(random.next() * openAttemptIds.length)]
            : undefined;
        if (attemptId !== undefined) {
            openAttemptIds = openAttemptIds.filter(other => other !== attemptId);
            const load = { inFlight: Math.floor(random.next() * 3), queued: 0, slots: 2 };
            send({
                type: "attempt-responded",
                atMs,
                random: random.next(),
                attemptId,
                statusCode: 200,
                instanceId: "i",
                load,
                draining: false,
                notRun: false,
            });
            send({ type: "attempt-completed", atMs, random: random.next(), attemptId });
        }
    };
    for (let index = 0; index < WARM_UP_REQUESTS; index += 1) {
        runRequest(index);
    }
    events = 0;
    const startedAtUs = process.cpuUsage().user;
    for (let index = 0; index < REQUESTS; index += 1) {
        runRequest(WARM_UP_REQUESTS + index);
    }
    const tookUs = process.cpuUsage().user - startedAtUs;
    const cells = [
        servers,
        otherServices,
        (tookUs / REQUESTS).toFixed(2),
        (tookUs / events).toFixed(2),
        (events / REQUESTS).toFixed(2),
    ];
    console.log(`| ${cells.join(" | ")} |`);
};

console.log(
    "| backend servers of the service | other services of 35 backend servers | CPU us per request | CPU us per event "
        + "| events per request |",
);
console.log("|" + " --- |".repeat(5));
for (const [servers, otherServices] of [[12, 0], [12, 4], [12, 64], [35, 64]] as const) {
    measure(servers, otherServices);
}
