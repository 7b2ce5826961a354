import type { VmList } from "@marigoldstall/core.types";
import { HttpVmListClient } from "@marigoldstall/platform.vm-list-client";
import { createRoutingState, reduceRouting } from "@marigoldstall/routing.state";
import type { RoutingEvent, RoutingState } from "@marigoldstall/routing.state";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CostRow } from "./cost-row.js";
import { generateTargets } from "./generate-targets.js";
import { generateVmList } from "./generate-vm-list.js";
import { measureCpuTime } from "./measure-cpu-time.js";
import { measureHeap } from "./measure-heap.js";

const READS = 60;
const WARM_UP_READS = 20;
const REQUESTS = 4000;
const TICKS = 200;
const SECOND_MS = 1000;
const DEADLINE_MS = 30_000;
const IN_FLIGHT_REQUESTS = 4000;
const MICROSECONDS_PER_MS = 1000;

interface RoutingModelOptions {
    readonly backendServerCount: number;
    readonly serviceCount: number;
    readonly classesPerService: number;
    readonly seed: number;
}

class RoutingModel {
    atMs = 0;
    state: RoutingState = createRoutingState({ vmId: "entry-1", availabilityZone: "bezigrad" });
    private readonly generator: ReturnType<typeof xoroshiro128plus>;
    private readonly opts: RoutingModelOptions;
    private readonly vmList: VmList;
    private requestCount = 0;

    constructor(opts: RoutingModelOptions) {
        this.opts = opts;
        this.vmList = generateVmList({ ...opts, entryVmCount: 0, asOfMs: 0 });
        this.generator = xoroshiro128plus(opts.seed);
        this.reduce({ type: "targets-changed", atMs: 0, targets: generateTargets(opts) });
        this.updateVmList();
    }

    reduce(event: RoutingEvent) {
        const transition = reduceRouting(this.state, event);
        this.state = transition.state;
        return transition.effects;
    }

    updateVmList(): void {
        this.reduce({ type: "vm-list-read", atMs: this.atMs, vmList: { ...this.vmList, asOfMs: this.atMs } });
    }

    tick(): void {
        this.atMs += SECOND_MS;
        this.reduce({ type: "tick", atMs: this.atMs, random: uniformFloat64(this.generator) });
    }

    /** Sends a request of the next service's urgent class. Returns the attempt id, or undefined if none started. */
    startRequest(): string | undefined {
        this.atMs += 1;
        const service = `service-${String(this.requestCount % this.opts.serviceCount).padStart(2, "0")}`;
        this.requestCount += 1;
        const effects = this.reduce({
            type: "request-arrived",
            atMs: this.atMs,
            random: uniformFloat64(this.generator),
            requestId: `entry-bezigrad-1-800000000000-${this.requestCount}`,
            service,
            className: `${service}-class-0`,
            deadlineAtMs: this.atMs + DEADLINE_MS,
            callerAttempt: 1,
            bodyReplayable: true,
        });
        return effects.flatMap(effect => effect.type === "start-attempt" ? [effect.attemptId] : [])[0];
    }

    completeAttempt(attemptId: string): void {
        this.reduce({
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
        this.reduce({ type: "attempt-completed", atMs: this.atMs, random: uniformFloat64(this.generator), attemptId });
    }

    runRequests(count: number): void {
        for (let index = 0; index < count; index += 1) {
            const attemptId = this.startRequest();
            if (attemptId !== undefined) {
                this.completeAttempt(attemptId);
            }
        }
    }
}

const measureVmListRead = async (vmList: VmList): Promise<{ readonly cpuMs: number; readonly bytes: number; }> => {
    const body = JSON.stringify(vmList);
    const server = createServer((request, response) => {
        response.writeHead(200, { "Content-Type": "application/json", "Content-Length": body.length }).end(body);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = new HttpVmListClient({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` });
    const readMany = async (count: number): Promise<void> => {
        for (let index = 0; index < count; index += 1) {
            const result = await client.read();
            if (result.isErr()) {
                throw result.error;
            }
        }
    };
    try {
        await readMany(WARM_UP_READS);
        return { cpuMs: await measureCpuTime(() => readMany(READS)) / READS, bytes: body.length };
    }
    finally {
        client.close();
        server.closeAllConnections();
        server.close();
    }
};

/** Measures the cost of the VM list and the routing state for a number of backend servers and services. */
export const measureRouting = async (opts: RoutingModelOptions): Promise<readonly CostRow[]> => {
    const { backendServerCount, serviceCount } = opts;
    const read = await measureVmListRead(
        generateVmList({ backendServerCount, serviceCount, entryVmCount: 0, asOfMs: 0 }),
    );
    const model = new RoutingModel(opts);
    model.runRequests(REQUESTS);
    const measureRepeated = (count: number, work: () => void) =>
        measureCpuTime(() => {
            for (let index = 0; index < count; index += 1) {
                work();
            }
        });
    const vmListCpuMs = await measureRepeated(READS, () => {
        model.atMs += SECOND_MS;
        model.updateVmList();
    });
    const requestsCpuMs = await measureCpuTime(() => model.runRequests(REQUESTS));
    const ticksCpuMs = await measureRepeated(TICKS, () => model.tick());
    const idleHeapBytes = measureHeap(() => new RoutingModel(opts));
    const loadedHeapBytes = measureHeap(() => {
        const loadedModel = new RoutingModel(opts);
        for (let index = 0; index < IN_FLIGHT_REQUESTS; index += 1) {
            loadedModel.startRequest();
        }
        return loadedModel;
    });
    const rows: readonly (readonly [string, string])[] = [
        ["VM list, bytes of one answer", String(read.bytes)],
        ["VM list, processor ms of one read, client and a fixed answer", read.cpuMs.toFixed(2)],
        ["VM list, processor ms of one reduction", (vmListCpuMs / READS).toFixed(2)],
        [
            "processor µs of the routing events of a request",
            (requestsCpuMs / REQUESTS * MICROSECONDS_PER_MS).toFixed(1),
        ],
        ["processor µs of a routing tick each second", (ticksCpuMs / TICKS * MICROSECONDS_PER_MS).toFixed(0)],
        ["heap KB of the routing state with targets and list", (idleHeapBytes / 1000).toFixed(0)],
        [
            `heap bytes a request in flight or queued, of ${IN_FLIGHT_REQUESTS}`,
            ((loadedHeapBytes - idleHeapBytes) / IN_FLIGHT_REQUESTS).toFixed(0),
        ],
    ];
    const at = `${backendServerCount} backend servers, ${serviceCount} services of ${opts.classesPerService} classes`;
    return rows.map(([quantity, value]) => ({ part: "routing", at, quantity, value }));
};
