import {
    buildVmSettings,
    fetchStatus,
    PlatformServer,
    READY_PATH,
    SETTINGS_VARIABLE,
    type StoreFault,
    StoreStandIn,
} from "@marigoldstall-private/platform";
import type { RandomSource } from "@marigoldstall-private/random";
import { ManagedProcess } from "@marigoldstall-private/sites";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { ChangeTracker } from "./change-tracker.js";
import { FaultProxy } from "./fault-proxy.js";
import type { SoakArrival } from "./soak-arrival.js";
import type { SoakServerEntry } from "./soak-server-entry.js";
import { StoreCopies } from "./store-copies.js";
import type { VmFault } from "./vm-fault.js";
import { VmSettingsFiles } from "./vm-settings-files.js";

const PROGRAM = resolve("target/marigoldstall-entry.cjs");
// Soaks that run at the same time, as separate processes, use different subnets of the loopback network.
const SUBNET = `127.${64 + (process.pid >> 8) % 64}.${process.pid % 256}`;
const STORE_HOST = `${SUBNET}.1`;
const SERVER_HOST = `${SUBNET}.2`;
const FIRST_VM_HOST_NUMBER = 10;
const PORTS = { caller: 28_641, ready: 28_640, control: 28_649, fleet: 27_620 };
// A change must be in force on all VMs within this time after the store accepted it.
const CHANGE_LIMIT_MS = 2_000;
const HEARTBEAT_MS = 1_500;
const EXPIRY_HEARTBEATS = 3;
// The operator and the backend servers write again what the store lost within this time after its return.
const REWRITE_MS = 2_000;
// A draining server is removed from the store after this time, and still serves.
const DRAIN_MS = 5_000;
const POLL_INTERVAL_MS = 50;
const VM_START_MS = 2_000;
const SEED_COUNT = 2;
const SERVICE = "soak";
const DEFAULT_ZONES = ["zone-0", "zone-1"];
const CRASH_DOWN_MS = 2_500;

interface SoakSiteOptions {
    readonly vmCount: number;
    readonly serverCount: number;
    readonly workMs: () => number;
    /** Zones over which VMs and servers are spread in turn. Default: two zones. */
    readonly zones?: readonly string[];
    /** Called for each process that is started. */
    readonly onVmStarted?: (vmId: string, started: ManagedProcess) => void;
}

/** Entry daemons as processes, a store and backend servers behind fault proxies. Records which requests ran. */
export class SoakSite {
    /** Host header of callers' requests. */
    readonly publicHost = "soak.example";
    readonly store = new StoreStandIn();
    readonly servers: SoakServerEntry[] = [];
    readonly runs = new Map<string, number[]>();
    /** Requests to servers that all VMs must know to be leaving. */
    readonly runsAfterDrain: string[] = [];
    readonly instanceIdsByRequest = new Map<string, string[]>();
    readonly vmIdByRequest = new Map<string, string>();
    readonly vmFaults: VmFault[] = [];
    readonly arrivals: SoakArrival[] = [];
    /** When servers ended under the request that ends each server that runs it. */
    readonly crashesMs: number[] = [];
    readonly directory = mkdtempSync(join(tmpdir(), "marigoldstall-soak-"));
    readonly settingsFiles = new VmSettingsFiles({
        directory: this.directory,
        build: (vmId, { isFirstStart }) => this.buildSettings(vmId, isFirstStart),
    });
    /** Time of the latest store fault or pause of a VM, during which a VM may not learn that a server drains. */
    lastStoreFaultAtMs = -Infinity;
    private readonly opts: SoakSiteOptions;
    private readonly processes = new Map<string, ManagedProcess>();
    private readonly vmStartedAtMs = new Map<string, number>();
    /** Time of the latest fault of each VM. */
    private readonly vmDisturbedAtMs = new Map<string, number>();
    private readonly copies = new StoreCopies(this.store);
    private readonly changes = new ChangeTracker({
        limitMs: CHANGE_LIMIT_MS,
        lastFaultAtMs: () => this.lastStoreFaultAtMs,
    });
    /** Time at which each leaving server began to drain, or was removed without draining. */
    private readonly leavingSinceMs = new Map<string, number>();
    private readonly removedIds = new Set<string>();
    private restoresInProgress = 0;
    private leftCount = 0;
    private storeAddress = "";
    private version = 1;
    private nextServer = 0;
    private heartbeatTimer: NodeJS.Timeout | undefined;
    private pollTimer: NodeJS.Timeout | undefined;

    constructor(opts: SoakSiteOptions) {
        this.opts = opts;
    }

    get vmIds(): readonly string[] {
        return [...Array(this.opts.vmCount).keys()].map(index => `vm-${index}`);
    }

    addressOf(vmId: string): string {
        return `${this.hostOf(vmId)}:${PORTS.caller}`;
    }

    hostOf(vmId: string): string {
        return `${SUBNET}.${FIRST_VM_HOST_NUMBER + Number(vmId.slice(3))}`;
    }

    /** Version of the configuration that the operator published last. */
    get newestVersion(): number {
        return this.version;
    }

    /** The servers that are not leaving. */
    get liveServers(): readonly PlatformServer[] {
        return this.servers.map(entry => entry.server).filter(({ instanceId, directives }) =>
            !this.leavingSinceMs.has(instanceId) && directives.isLeaving !== true
        );
    }

    process(vmId: string): ManagedProcess | undefined {
        return this.processes.get(vmId);
    }

    async start(): Promise<void> {
        this.storeAddress = await this.store.listen(STORE_HOST);
        this.publishConfiguration();
        for (let index = 0; index < this.opts.serverCount; index += 1) {
            await this.addServer();
        }
        this.heartbeatTimer = setInterval(() => {
            for (const entry of this.servers) {
                this.renew(entry);
            }
        }, HEARTBEAT_MS);
        // The platform removes a registration after three heartbeats of silence. Looked for only once a heartbeat, it would
        // stay for up to four.
        this.pollTimer = setInterval(() => {
            this.store.expireRegistrations(EXPIRY_HEARTBEATS * HEARTBEAT_MS);
            this.changes.update();
        }, POLL_INTERVAL_MS);
        this.copies.start();
        for (const vmId of this.vmIds) {
            this.startVm(vmId);
        }
        await this.waitUntilReady(this.vmIds);
    }

    startVm(vmId: string): void {
        this.settingsFiles.write(vmId);
        this.vmStartedAtMs.set(vmId, performance.now());
        const started = new ManagedProcess({
            name: vmId,
            command: [process.execPath, "--max-old-space-size=160", PROGRAM],
            logFile: this.logFile(vmId),
            environment: { [SETTINGS_VARIABLE]: this.settingsFiles.pathOf(vmId) },
        });
        this.processes.set(vmId, started);
        this.opts.onVmStarted?.(vmId, started);
    }

    logFile(vmId: string): string {
        return join(this.directory, `${vmId}.log`);
    }

    async waitUntilReady(vmIds: readonly string[]): Promise<void> {
        for (const vmId of vmIds) {
            for (;;) {
                if (await this.fetchReadiness(vmId) === 200) {
                    break;
                }
                await new Promise(done => {
                    setTimeout(done, 50);
                });
            }
        }
    }

    fetchReadiness(vmId: string): Promise<number | undefined> {
        return fetchStatus(`${this.hostOf(vmId)}:${PORTS.ready}`, { path: READY_PATH });
    }

    async addServer(): Promise<void> {
        const instanceId = `i-${this.nextServer}`;
        const zone = this.zoneAt(this.nextServer);
        this.nextServer += 1;
        const server = new PlatformServer({
            instanceId,
            workMs: this.opts.workMs,
            onRun: requestId => {
                this.recordRun(instanceId, requestId);
            },
            onArrival: requestId => {
                const vmId = this.vmIdByRequest.get(requestId) ?? "";
                const vmSteadySinceMs = Math.max(
                    this.vmStartedAtMs.get(vmId) ?? Infinity,
                    this.vmDisturbedAtMs.get(vmId) ?? -Infinity,
                );
                this.arrivals.push({ requestId, vmId, instanceId, atMs: performance.now(), vmSteadySinceMs });
            },
            onCrash: () => {
                this.crashesMs.push(performance.now());
                proxy.crash(CRASH_DOWN_MS);
            },
        });
        await server.listen(SERVER_HOST);
        const proxy = new FaultProxy({ host: SERVER_HOST, targetPort: () => server.port });
        const proxyPort = await proxy.listen(SERVER_HOST);
        const startedAtUnixMs = Date.now();
        const entry = { server, proxy, proxyPort, zone, startedAtUnixMs };
        this.servers.push(entry);
        this.register(entry);
    }

    /** Lets the oldest server leave, every second one without draining. It keeps serving beyond the drain limit. */
    letOldestLeave(): void {
        const entry = this.servers.find(({ server }) => !this.leavingSinceMs.has(server.instanceId));
        if (entry === undefined) {
            return;
        }
        const { instanceId } = entry.server;
        this.leftCount += 1;
        this.leavingSinceMs.set(instanceId, performance.now());
        if (this.leftCount % 2 === 0) {
            this.remove(instanceId);
        }
        else {
            this.register(entry);
        }
        this.changes.add(`server ${instanceId}`, () => !this.store.isReady(instanceId));
    }

    /** Publishes a new version of the configuration. */
    publishConfiguration(): void {
        this.version += 1;
        const { version } = this;
        this.writeConfiguration();
        this.changes.add(`version ${version}`, () => this.store.configurationVersion === version);
    }

    /** Restores the store from an older copy after a time in which it fails. Its writers write again what they wrote. */
    async restoreStore(opts: {
        readonly kind: StoreFault["kind"];
        readonly awayMs: number;
        readonly copyAgeMs: number;
        readonly random: RandomSource;
    }): Promise<void> {
        const copy = this.copies.find(opts.copyAgeMs);
        if (copy === undefined) {
            return;
        }
        this.restoresInProgress += 1;
        this.store.fault = { kind: opts.kind, delayMs: opts.awayMs + POLL_INTERVAL_MS };
        const endAtMs = performance.now() + opts.awayMs;
        while (performance.now() < endAtMs) {
            this.lastStoreFaultAtMs = performance.now();
            await sleep(POLL_INTERVAL_MS);
        }
        this.lastStoreFaultAtMs = performance.now();
        this.store.restore(copy);
        this.store.fault = { kind: "none" };
        this.changes.update();
        this.restoresInProgress -= 1;
        setTimeout(() => {
            this.writeConfiguration();
        }, opts.random.uniform() * REWRITE_MS);
        for (const entry of this.servers) {
            setTimeout(() => {
                this.renew(entry);
            }, opts.random.uniform() * REWRITE_MS);
        }
    }

    /** Whether a VM's process has run for long enough to be ready. */
    hasStarted(vmId: string): boolean {
        return performance.now() - (this.vmStartedAtMs.get(vmId) ?? Infinity) > VM_START_MS;
    }

    /** Records a fault of a VM, during which other VMs may not learn from it. */
    disturb(vmId: string): void {
        this.vmDisturbedAtMs.set(vmId, performance.now());
    }

    /** Whether a VM must know a change, by itself or from a seed that runs without a fault since the VM has started. */
    mustKnow(vmId: string, change: string): boolean {
        const settledAtMs = this.changes.settledAtMs(change) ?? -Infinity;
        const startedAtMs = this.vmStartedAtMs.get(vmId) ?? Infinity;
        const hasSteadySeed = this.vmIds.slice(0, SEED_COUNT).some(seedId =>
            seedId !== vmId && this.process(seedId)?.running === true
            && (this.vmStartedAtMs.get(seedId) ?? Infinity) + VM_START_MS < settledAtMs
            && (this.vmDisturbedAtMs.get(seedId) ?? -Infinity) < startedAtMs
        );
        return this.knowsByItself(vmId, change) || hasSteadySeed || this.changes.isDue(change);
    }

    async stop(): Promise<void> {
        clearInterval(this.heartbeatTimer);
        clearInterval(this.pollTimer);
        this.copies.stop();
        await Promise.all([...this.processes.values()].map(started => {
            started.kill("SIGCONT");
            return started.stop({ graceMs: 7_000 });
        }));
        for (const { server, proxy } of this.servers) {
            proxy.close();
            server.close();
        }
        this.store.close();
    }

    private recordRun(instanceId: string, requestId: string): void {
        const nowMs = performance.now();
        this.runs.set(requestId, [...this.runs.get(requestId) ?? [], nowMs]);
        this.instanceIdsByRequest.set(requestId, [...this.instanceIdsByRequest.get(requestId) ?? [], instanceId]);
        const change = `server ${instanceId}`;
        const vmId = this.vmIdByRequest.get(requestId) ?? "";
        if (this.changes.isDue(change) || this.knowsByItself(vmId, change)) {
            const state = this.removedIds.has(instanceId) ? "removed" : "draining";
            this.runsAfterDrain.push(`${requestId} was sent by ${vmId} to ${instanceId}, which is ${state}`);
        }
    }

    // Whether the VM has run since before the change was in force everywhere.
    private knowsByItself(vmId: string, change: string): boolean {
        const startedAtMs = this.vmStartedAtMs.get(vmId) ?? Infinity;
        return startedAtMs + VM_START_MS < (this.changes.settledAtMs(change) ?? -Infinity);
    }

    private get isStoreAway(): boolean {
        return this.restoresInProgress > 0;
    }

    // The operator retries while the store is away.
    private writeConfiguration(): void {
        if (!this.isStoreAway && this.store.configurationVersion !== this.version) {
            this.store.publish({ version: this.version, host: this.publicHost, service: SERVICE });
        }
    }

    private renew(entry: SoakServerEntry): void {
        const { instanceId } = entry.server;
        if (performance.now() - (this.leavingSinceMs.get(instanceId) ?? Infinity) > DRAIN_MS) {
            this.remove(instanceId);
        }
        if (!this.removedIds.has(instanceId)) {
            this.register(entry);
        }
    }

    // Without a store, the registration expires later.
    private remove(instanceId: string): void {
        if (!this.removedIds.has(instanceId) && !this.isStoreAway) {
            this.store.unregister(instanceId);
        }
        this.removedIds.add(instanceId);
    }

    private register(entry: SoakServerEntry): void {
        if (this.isStoreAway) {
            return;
        }
        const { server, proxyPort, zone, startedAtUnixMs } = entry;
        this.store.register({
            instanceId: server.instanceId,
            startedAtUnixMs,
            service: SERVICE,
            address: `${SERVER_HOST}:${proxyPort}`,
            availabilityZone: zone,
            slots: server.slots,
            isDraining: this.leavingSinceMs.has(server.instanceId),
        });
    }

    private zoneAt(index: number): string {
        const { zones = DEFAULT_ZONES } = this.opts;
        return zones[index % zones.length] ?? "";
    }

    private buildSettings(vmId: string, isFirstStart: boolean): unknown {
        return buildVmSettings({
            vmId,
            availabilityZone: this.zoneAt(Number(vmId.slice(3))),
            host: this.hostOf(vmId),
            ports: PORTS,
            heartbeatMs: HEARTBEAT_MS,
            storeAddress: this.storeAddress,
            seedAddresses: this.vmIds.slice(0, SEED_COUNT).map(seedId => `${this.hostOf(seedId)}:${PORTS.control}`),
            isFirstStart,
        });
    }
}
