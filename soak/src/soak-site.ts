import { ManagedProcess } from "@marigoldstall-private/sites";
import { StoreStandIn } from "@marigoldstall-private/store";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { FaultProxy } from "./fault-proxy.js";
import { SoakServer } from "./soak-server.js";
import type { VmDisturbance } from "./vm-disturbance.js";

const PROGRAM = resolve("target/marigoldstall-entry.cjs");
const STORE_HOST = "127.0.20.1";
const SERVER_HOST = "127.0.21.1";
const PORTS = { caller: 28_641, ready: 28_640, control: 28_649, fleet: 27_620 };
const DRAIN_MS = 2_000;
const HEARTBEAT_MS = 1_500;
const VERSION_DIGITS = 8;
const HEXADECIMAL = 16;

interface SoakServerEntry {
    readonly server: SoakServer;
    readonly proxy: FaultProxy;
    readonly proxyPort: number;
    readonly zone: string;
}

interface SoakSiteOptions {
    readonly vmCount: number;
    readonly serverCount: number;
    readonly workMs: () => number;
}

/** Entry daemons as processes, with a store, backend servers behind proxies, and records of what ran. */
export class SoakSite {
    readonly store = new StoreStandIn();
    readonly servers: SoakServerEntry[] = [];
    readonly runs = new Map<string, number[]>();
    readonly lateRuns: string[] = [];
    /** When each draining server was registered as such. */
    readonly drainingSinceMs = new Map<string, number>();
    readonly disturbances: VmDisturbance[] = [];
    readonly directory = mkdtempSync(join(tmpdir(), "marigoldstall-soak-"));
    /** Unfinished faults of the store allow a server's leaving to go unnoticed. */
    storeTroubledAtMs = -Infinity;
    private readonly opts: SoakSiteOptions;
    private readonly processes = new Map<string, ManagedProcess>();
    private storeAddress = "";
    private version = 1;
    private nextServer = 0;
    private heartbeat: NodeJS.Timeout | undefined;

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
        return `127.0.22.${Number(vmId.slice(3)) + 1}`;
    }

    process(vmId: string): ManagedProcess | undefined {
        return this.processes.get(vmId);
    }

    async start(): Promise<void> {
        this.storeAddress = await this.store.listen(STORE_HOST);
        this.configure();
        for (let index = 0; index < this.opts.serverCount; index += 1) {
            await this.addServer();
        }
        this.heartbeat = setInterval(() => {
            for (const entry of this.servers) {
                this.register(entry);
            }
        }, HEARTBEAT_MS);
        for (const vmId of this.vmIds) {
            this.startVm(vmId);
        }
        await this.untilReady(this.vmIds);
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
                environment: { MARIGOLDSTALL_CONFIG: file },
            }),
        );
    }

    async untilReady(vmIds: readonly string[]): Promise<void> {
        for (const vmId of vmIds) {
            for (;;) {
                const answer = await fetch(`http://${this.hostOf(vmId)}:${PORTS.ready}/api/ready`).catch(() =>
                    undefined
                );
                if (answer?.status === 200) {
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
        const server = new SoakServer({
            instanceId,
            workMs: this.opts.workMs,
            onRun: requestId => {
                this.noteRun(instanceId, requestId);
            },
        });
        await server.listen(SERVER_HOST);
        const proxy = new FaultProxy({ host: SERVER_HOST, targetPort: () => server.port });
        const proxyPort = await proxy.listen(SERVER_HOST);
        const entry = { server, proxy, proxyPort, zone };
        this.servers.push(entry);
        this.register(entry);
    }

    /** Takes the oldest server out as planned: it drains, and goes on serving for longer than the bound. */
    drainOldest(): void {
        const entry = this.servers.find(other => !this.drainingSinceMs.has(other.server.instanceId));
        if (entry !== undefined) {
            this.drainingSinceMs.set(entry.server.instanceId, performance.now());
            this.register(entry);
        }
    }

    /** Publishes a new version of the configuration. */
    configure(): void {
        this.version += 1;
        const rule = (name: string, kind: string): unknown => ({
            name,
            routeType: kind,
            targetLatency: "400ms",
            priority: 2,
            match: { pathPrefix: `/${name}/` },
            action: { service: "soak", timeout: "1500ms", maxAttempts: 2 },
        });
        const configuration = {
            version: this.version.toString(HEXADECIMAL).padStart(VERSION_DIGITS, "0"),
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeout: "3s", idleTimeout: "15s" },
            listeners: [{ host: "soak.example", rules: [rule("read", "safe"), rule("write", "unsafe")] }],
            clusters: [{ name: "soak", healthPath: "/health", maxConns: 220 }],
        };
        this.store.topic("keyed.op").put("config", JSON.stringify(configuration));
    }

    async stop(): Promise<void> {
        clearInterval(this.heartbeat);
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

    readLog(vmId: string): string {
        return readFileSync(join(this.directory, `${vmId}.log`), "utf8");
    }

    private noteRun(instanceId: string, requestId: string): void {
        const nowMs = performance.now();
        this.runs.set(requestId, [...this.runs.get(requestId) ?? [], nowMs]);
        const since = this.drainingSinceMs.get(instanceId);
        const isBound = since !== undefined && nowMs - since > DRAIN_MS
            && nowMs - this.storeTroubledAtMs > 2 * DRAIN_MS;
        if (isBound) {
            this.lateRuns.push(requestId);
        }
    }

    private register(entry: SoakServerEntry): void {
        this.store.topic("keyed.servers").put(
            entry.server.instanceId,
            JSON.stringify({
                service: "soak",
                address: `${SERVER_HOST}:${entry.proxyPort}`,
                zone: entry.zone,
                version: "v1",
                capacity: 2,
                state: this.drainingSinceMs.has(entry.server.instanceId) ? "draining" : "ready",
                warmupLeft: "0ms",
                seq: this.store.callCount,
            }),
        );
    }

    private settings(vmId: string): unknown {
        const host = this.hostOf(vmId);
        return {
            nodeName: vmId,
            zone: `zone-${Number(vmId.slice(3)) % 2}`,
            region: "soak",
            ip: host,
            listen: {
                front: `${host}:${PORTS.caller}`,
                ready: `${host}:${PORTS.ready}`,
                control: `${host}:${PORTS.control}`,
            },
            internalPorts: [PORTS.fleet, PORTS.fleet + 10],
            seeds: [],
            bootstrap: false,
            limits: { cpuShare: 1, cores: 1, linkMbps: 100 },
            heartbeat: `${HEARTBEAT_MS}ms`,
            bounds: {
                grace: "6s",
                retryBudgetRatio: 0.2,
                budgetWindow: "10s",
                budgetSlack: 58,
                probesPerS: 60,
            },
            platform: { address: this.storeAddress },
        };
    }
}
