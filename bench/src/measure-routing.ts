import type { VmList } from "@marigoldstall/core.types";
import { HttpVmListClient } from "@marigoldstall/platform.vm-list-client";
import { createRoutingState, reduceRouting } from "@marigoldstall/routing.state";
import type { RoutingEvent, RoutingState } from "@marigoldstall/routing.state";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CostRow } from "./cost-row.js";
import { measureHeap } from "./measure-heap.js";
import { planTargets } from "./plan-targets.js";
import { planVmList } from "./plan-vm-list.js";
import { timeProcessor } from "./time-processor.js";

const READS = 60;
const WARM_UP_READS = 20;
const REQUESTS = 4000;
const TICKS = 200;
const SECOND_MS = 1000;
const DEADLINE_MS = 30_000;
const IN_FLIGHT = 4000;
const MICROSECONDS_PER_MS = 1000;

interface Options {
    readonly backendServers: number;
    readonly services: number;
    readonly classesPerService: number;
    readonly seed: number;
}

class RoutingModel {
    atMs = 0;
    state: RoutingState = createRoutingState({ vmId: "entry-1", availabilityZone: "bezigrad" });
    private readonly generator: ReturnType<typeof xoroshiro128plus>;
    private readonly opts: Options;
    private readonly vmList: VmList;
    private requests = 0;

    constructor(opts: Options) {
        this.opts = opts;
        this.vmList = planVmList({ ...opts, entryVms: 0, asOfMs: 0 });
        this.generator = xoroshiro128plus(opts.seed);
        this.send({ type: "targets-changed", atMs: 0, targets: planTargets(opts) });
        this.list();
    }

    send(event: RoutingEvent) {
        const transition = reduceRouting(this.state, event);
        this.state = transition.state;
        return transition.effects;
    }

    list(): void {
        this.send({ type: "vm-list-read", atMs: this.atMs, vmList: { ...this.vmList, asOfMs: this.atMs } });
    }

    tick(): void {
        this.atMs += SECOND_MS;
        this.send({ type: "tick", atMs: this.atMs, random: uniformFloat64(this.generator) });
    }

    /** Starts a request of the urgent class of the next service; returns the attempt, when it started. */
    arrive(): string | undefined {
        this.atMs += 1;
        const service = `service-${String(this.requests % this.opts.services).padStart(2, "0")}`;
        this.requests += 1;
        const effects = this.send({
            type: "request-arrived",
            atMs: this.atMs,
            random: uniformFloat64(this.generator),
            requestId: `entry-bezigrad-1-800000000000-${this.requests}`,
            service,
            className: `${service}-class-0`,
            deadlineAtMs: this.atMs + DEADLINE_MS,
            callerAttempt: 1,
            bodyReplayable: true,
        });
        return effects.flatMap(effect => effect.type === "start-attempt" ? [effect.attemptId] : [])[0];
    }

    finish(attemptId: string): void {
        this.send({
            type: "attempt-responded",
            atMs: this.atMs,
            random: uniformFloat64(this.generator),
            attemptId,
            statusCode: 200,
            instanceId: undefined,
            load: { inFlight: 1, queued: 0, slots: 2 },
            draining: false,
            notRun: false,
        });
        this.send({ type: "attempt-completed", atMs: this.atMs, random: uniformFloat64(this.generator), attemptId });
    }

    run(count: number): void {
        for (let index = 0; index < count; index += 1) {
            const attemptId = this.arrive();
            if (attemptId !== undefined) {
                this.finish(attemptId);
            }
        }
    }
}

const measureRead = async (vmList: VmList): Promise<{ readonly usedMs: number; readonly bytes: number; }> => {
    const text = JSON.stringify(vmList);
    const server = createServer((request, response) => {
        response.writeHead(200, { "Content-Type": "application/json", "Content-Length": text.length }).end(text);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = new HttpVmListClient({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` });
    const readMany = async (count: number): Promise<void> => {
        for (let index = 0; index < count; index += 1) {
            const answer = await client.read();
            if (answer.isErr()) {
                throw answer.error;
            }
        }
    };
    try {
        await readMany(WARM_UP_READS);
        return { usedMs: await timeProcessor(() => readMany(READS)) / READS, bytes: text.length };
    }
    finally {
        client.close();
        server.closeAllConnections();
        server.close();
    }
};

/** Cost of the VM list and of the routing state for this many backend servers and services. */
export const measureRouting = async (opts: Options): Promise<readonly CostRow[]> => {
    const { backendServers, services } = opts;
    const read = await measureRead(planVmList({ backendServers, services, entryVms: 0, asOfMs: 0 }));
    const model = new RoutingModel(opts);
    model.run(REQUESTS);
    const repeat = (count: number, work: () => void) =>
        timeProcessor(() => {
            for (let index = 0; index < count; index += 1) {
                work();
            }
        });
    const listMs = await repeat(READS, () => {
        model.atMs += SECOND_MS;
        model.list();
    });
    const requestMs = await timeProcessor(() => model.run(REQUESTS));
    const tickMs = await repeat(TICKS, () => model.tick());
    const idle = measureHeap(() => new RoutingModel(opts));
    const busy = measureHeap(() => {
        const loaded = new RoutingModel(opts);
        for (let index = 0; index < IN_FLIGHT; index += 1) {
            loaded.arrive();
        }
        return loaded;
    });
    const rows: readonly (readonly [string, string])[] = [
        ["VM list, bytes of one answer", String(read.bytes)],
        ["VM list, processor ms of one read, client and a fixed answer", read.usedMs.toFixed(2)],
        ["VM list, processor ms of one reduction", (listMs / READS).toFixed(2)],
        ["processor µs of the routing events of a request", (requestMs / REQUESTS * MICROSECONDS_PER_MS).toFixed(1)],
        ["processor µs of a routing tick each second", (tickMs / TICKS * MICROSECONDS_PER_MS).toFixed(0)],
        ["heap KB of the routing state with targets and list", (idle / 1000).toFixed(0)],
        [`heap bytes a request in flight or queued, of ${IN_FLIGHT}`, ((busy - idle) / IN_FLIGHT).toFixed(0)],
    ];
    const at = `${backendServers} backend servers, ${services} services of ${opts.classesPerService} classes`;
    return rows.map(([quantity, value]) => ({ part: "routing", at, quantity, value }));
};
