import {
    buildVmSettings,
    PlatformServer,
    READY_PATH,
    SETTINGS_VARIABLE,
    StoreStandIn,
} from "@marigoldstall-private/platform";
import { ManagedProcess } from "@marigoldstall-private/sites";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { FaultProxy } from "./fault-proxy.js";
import type { VmFault } from "./vm-fault.js";

const PROGRAM = resolve("target/marigoldstall-entry.cjs");
// Soaks that run at the same time, as separate processes, use different subnets of the loopback network.
const SUBNET = `127.${64 + (process.pid >> 8) % 64}.${process.pid % 256}`;
const STORE_HOST = `${SUBNET}.1`;
const SERVER_HOST = `${SUBNET}.2`;
const FIRST_VM_HOST_NUMBER = 10;
const PORTS = { caller: 28_641, ready: 28_640, control: 28_649, fleet: 27_620 };
const DRAIN_LIMIT_MS = 2_000;
const HEARTBEAT_MS = 1_500;
const SERVICE = "soak";

interface SoakServerEntry {
    readonly server: PlatformServer;
    readonly proxy: FaultProxy;
    readonly proxyPort: number;
    readonly zone: string;
    readonly startedAtUnixMs: number;
}

interface SoakSiteOptions {
    readonly vmCount: number;
    readonly serverCount: number;
    readonly workMs: () => number;
}

/** Entry daemons as processes, a store and backend servers behind fault proxies. Records which requests ran. */
export class SoakSite {
    /** Host header of callers' requests. */
    readonly publicHost = "soak.example";
    readonly store = new StoreStandIn();
    readonly servers: SoakServerEntry[] = [];
    readonly runs = new Map<string, number[]>();
    readonly runsAfterDrain: string[] = [];
    /** Time at which each draining server was registered as draining. */
    readonly drainingSinceMs = new Map<string, number>();
    readonly vmFaults: VmFault[] = [];
    readonly directory = mkdtempSync(join(tmpdir(), "marigoldstall-soak-"));
    /** Time of the latest store fault or pause of a VM, during which a VM may not learn that a server drains. */
    lastStoreFaultAtMs = -Infinity;
    private readonly opts: SoakSiteOptions;
    private readonly processes = new Map<string, ManagedProcess>();
    private storeAddress = "";
    private version = 1;
    private nextServer = 0;
    private heartbeatTimer: NodeJS.Timeout | undefined;

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
                this.register(entry);
            }
        }, HEARTBEAT_MS);
        for (const vmId of this.vmIds) {
            this.startVm(vmId);
        }
        await this.waitUntilReady(this.vmIds);
    }

    startVm(vmId: string): void {
        const file = join(this.directory, `${vmId}.json`);
        writeFileSync(file, JSON.stringify(this.settings(vmId)));
        this.processes.set(
            vmId,
            new ManagedProcess({
                name: vmId,
                command: [process.execPath, "--max-old-space-size=160", PROGRAM],
                logFile: join(this.directory, `${vmId}.log`),
                environment: { [SETTINGS_VARIABLE]: file },
            }),
        );
    }

    async waitUntilReady(vmIds: readonly string[]): Promise<void> {
        for (const vmId of vmIds) {
            for (;;) {
                const response = await fetch(`http://${this.hostOf(vmId)}:${PORTS.ready}${READY_PATH}`).catch(() =>
                    undefined
                );
                if (response?.status === 200) {
                    break;
                }
                await new Promise(done => {
                    setTimeout(done, 50);
                });
            }
        }
    }

    async addServer(): Promise<void> {
        const instanceId = `i-${this.nextServer}`;
        const zone = `zone-${this.nextServer % 2}`;
        this.nextServer += 1;
        const server = new PlatformServer({
            instanceId,
            workMs: this.opts.workMs,
            onRun: requestId => {
                this.recordRun(instanceId, requestId);
            },
        });
        await server.listen(SERVER_HOST);
        const proxy = new FaultProxy({ host: SERVER_HOST, targetPort: () => server.port });
        const proxyPort = await proxy.listen(SERVER_HOST);
        const entry = { server, proxy, proxyPort, zone, startedAtUnixMs: Date.now() };
        this.servers.push(entry);
        this.register(entry);
    }

    /** Starts to drain the oldest server, which keeps serving beyond the drain limit. */
    drainOldest(): void {
        const entry = this.servers.find(other => !this.drainingSinceMs.has(other.server.instanceId));
        if (entry !== undefined) {
            this.drainingSinceMs.set(entry.server.instanceId, performance.now());
            this.register(entry);
        }
    }

    /** Publishes a new version of the configuration. */
    publishConfiguration(): void {
        this.version += 1;
        this.store.publish({ version: this.version, host: this.publicHost, service: SERVICE });
    }

    async stop(): Promise<void> {
        clearInterval(this.heartbeatTimer);
        for (const started of this.processes.values()) {
            started.kill("SIGCONT");
            await started.stop({ graceMs: 7_000 });
        }
        for (const { server, proxy } of this.servers) {
            proxy.close();
            server.close();
        }
        this.store.close();
    }

    private recordRun(instanceId: string, requestId: string): void {
        const nowMs = performance.now();
        this.runs.set(requestId, [...this.runs.get(requestId) ?? [], nowMs]);
        const drainStartedAtMs = this.drainingSinceMs.get(instanceId);
        const isDrainLimitExceeded = drainStartedAtMs !== undefined && nowMs - drainStartedAtMs > DRAIN_LIMIT_MS
            && nowMs - this.lastStoreFaultAtMs > 2 * DRAIN_LIMIT_MS;
        if (isDrainLimitExceeded) {
            this.runsAfterDrain.push(requestId);
        }
    }

    private register({ server, proxyPort, zone, startedAtUnixMs }: SoakServerEntry): void {
        this.store.register({
            instanceId: server.instanceId,
            startedAtUnixMs,
            service: SERVICE,
            address: `${SERVER_HOST}:${proxyPort}`,
            availabilityZone: zone,
            slots: server.slots,
            isDraining: this.drainingSinceMs.has(server.instanceId),
        });
    }

    private settings(vmId: string): unknown {
        return buildVmSettings({
            vmId,
            availabilityZone: `zone-${Number(vmId.slice(3)) % 2}`,
            host: this.hostOf(vmId),
            ports: PORTS,
            heartbeatMs: HEARTBEAT_MS,
            storeAddress: this.storeAddress,
        });
    }
}
