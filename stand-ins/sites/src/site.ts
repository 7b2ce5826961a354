import type { BackendFaultSettings, BackendRecord } from "@marigoldstall-private/backend-server";
import type { LogFaultSettings } from "@marigoldstall-private/log";
import type { VmListFaultSettings } from "@marigoldstall-private/vm-list";
import { randomBytes } from "node:crypto";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { ManagedProcess } from "./managed-process.js";
import { pickFreePorts } from "./pick-free-ports.js";
import { postJson } from "./post-json.js";
import type { SiteBackendServer } from "./site-backend-server.js";
import type { SiteDaemon } from "./site-daemon.js";
import type { SiteLayout } from "./site-layout.js";
import type { SiteOptions } from "./site-options.js";
import { StandInProcesses } from "./stand-in-processes.js";
import { writeSettings } from "./write-settings.js";

const DEFAULT_DAEMON_COMMAND = [process.execPath, "daemon/cli/lib/main.js"];
const PORTS_PER_DAEMON = 3;
const DEFAULT_STOP_NOTICE_MS = 2000;
const DEFAULT_LOG_RETENTION_MS = 3_600_000;
const READY_POLL_MS = 100;

/** Running site: the stand-ins for the platform and one process per daemon, all on 127.0.0.1. */
export class Site {
    readonly layout: SiteLayout;
    readonly directory: string;
    readonly daemons: readonly SiteDaemon[];
    /** Settings file of the command-line tool. */
    readonly toolSettingsFile: string;
    private readonly standIns: StandInProcesses;
    private readonly daemonReaper: ManagedProcess;
    private readonly processes = new Map<string, ManagedProcess>();
    private readonly daemonCommand: readonly string[];
    private readonly daemonEnvironment: Readonly<Record<string, string>>;

    private constructor(
        opts: SiteOptions & {
            readonly directory: string;
            readonly standIns: StandInProcesses;
            readonly daemonList: readonly SiteDaemon[];
        },
    ) {
        this.layout = opts.layout;
        this.directory = opts.directory;
        this.standIns = opts.standIns;
        this.daemons = opts.daemonList;
        this.daemonCommand = opts.daemonCommand ?? DEFAULT_DAEMON_COMMAND;
        this.daemonEnvironment = opts.daemonEnvironment ?? {};
        this.toolSettingsFile = writeSettings(opts.directory, {
            daemons: opts.daemonList,
            region: opts.layout.region,
            platform: { log: opts.standIns.logAddress, vmList: opts.standIns.vmListAddress },
            logRetentionMs: opts.logRetentionMs ?? DEFAULT_LOG_RETENTION_MS,
            controlKey: randomBytes(24).toString("hex"),
            stopNoticeMs: opts.stopNoticeMs ?? DEFAULT_STOP_NOTICE_MS,
        });
        this.daemonReaper = new ManagedProcess({
            name: "daemon-reaper",
            command: [process.execPath, fileURLToPath(new URL("daemon-reaper.js", import.meta.url))],
            logFile: join(opts.directory, "daemon-reaper.log"),
        });
    }

    /** Starts the stand-ins, writes the settings files, and starts the daemons. */
    static async start(opts: SiteOptions): Promise<Site> {
        const directory = mkdtempSync(join(tmpdir(), `marigoldstall-${opts.layout.name}-`));
        const count = opts.daemons ?? opts.layout.entryVms;
        const ports = await pickFreePorts(count * PORTS_PER_DAEMON);
        const zones = opts.layout.availabilityZones;
        const daemonList = Array.from({ length: count }, (unused, index): SiteDaemon => {
            const availabilityZone = zones[index % zones.length] ?? "";
            const vmId = `entry-${availabilityZone}-${Math.floor(index / zones.length) + 1}`;
            const address = (port: number) => `127.0.0.1:${ports[index * PORTS_PER_DAEMON + port]}`;
            return {
                vmId,
                availabilityZone,
                callerAddress: address(0),
                controlAddress: address(1),
                operatorAddress: address(2),
                settingsFile: join(directory, `${vmId}.yaml`),
                logFile: join(directory, `${vmId}.log`),
            };
        });
        const standIns = await StandInProcesses.start({
            ...opts,
            directory,
            entryVms: daemonList.map(({ vmId, controlAddress, availabilityZone }) => (
                { vmId, address: controlAddress, availabilityZone }
            )),
        }).catch((error: unknown) => {
            rmSync(directory, { recursive: true, force: true });
            throw error;
        });
        const site = new Site({ ...opts, directory, standIns, daemonList });
        try {
            for (const daemon of daemonList) {
                await site.startDaemon(daemon);
            }
        }
        catch (error) {
            await site.stop();
            throw error;
        }
        return site;
    }

    get backendServers(): readonly SiteBackendServer[] {
        return this.standIns.backendServers;
    }

    get platform(): { readonly log: string; readonly vmList: string; } {
        return { log: this.standIns.logAddress, vmList: this.standIns.vmListAddress };
    }

    /** Starts a daemon that is not running, and adds its VM to the VM list as live. */
    async startDaemon(daemon: SiteDaemon): Promise<void> {
        const managedProcess = new ManagedProcess({
            name: daemon.vmId,
            command: [...this.daemonCommand, "--settings", daemon.settingsFile],
            logFile: daemon.logFile,
            environment: this.daemonEnvironment,
        });
        this.processes.set(daemon.vmId, managedProcess);
        if (managedProcess.running) {
            this.daemonReaper.write(`+${managedProcess.pid}`);
            void managedProcess.exited.catch(() => undefined).then(() =>
                this.daemonReaper.write(`-${managedProcess.pid}`)
            );
        }
        await postJson(`http://${this.standIns.vmListAddress}/_vms`, {
            body: {
                vmId: daemon.vmId,
                role: "entry",
                address: daemon.controlAddress,
                availabilityZone: daemon.availabilityZone,
                state: "live",
            },
        });
    }

    /** Returns the process of a daemon. */
    processOf(daemon: SiteDaemon): ManagedProcess {
        const found = this.processes.get(daemon.vmId);
        if (found === undefined) {
            throw new Error(`the daemon of ${daemon.vmId} has not been started`);
        }
        return found;
    }

    async isReady(daemon: SiteDaemon): Promise<boolean> {
        return await fetch(`http://${daemon.operatorAddress}/readyz`, { signal: AbortSignal.timeout(1000) })
            .then(response => response.ok, () => false);
    }

    /** Waits until all daemons are ready. Returns those that are not ready after `withinMs`. */
    async waitUntilReady(opts: { readonly withinMs: number; }): Promise<readonly SiteDaemon[]> {
        const endsAtMs = performance.now() + opts.withinMs;
        let notReady = this.daemons;
        while (notReady.length > 0 && performance.now() < endsAtMs) {
            const ready = await Promise.all(notReady.map(daemon => this.isReady(daemon)));
            notReady = notReady.filter((daemon, index) => ready[index] !== true);
            await delay(notReady.length > 0 ? READY_POLL_MS : 0);
        }
        return notReady;
    }

    /** Fetches the records of all backend servers. */
    async records(): Promise<readonly BackendRecord[]> {
        const lists = await Promise.all(
            this.standIns.hostControls.map(control => postJson(`http://${control}/_record`, { method: "GET" })),
        );
        return lists.flat() as BackendRecord[];
    }

    async setLogFaults(faults: LogFaultSettings): Promise<void> {
        await postJson(`http://${this.standIns.logAddress}/_faults`, { body: faults });
    }

    async setVmListFaults(faults: VmListFaultSettings): Promise<void> {
        await postJson(`http://${this.standIns.vmListAddress}/_faults`, { body: faults });
    }

    /** Marks a VM as leaving in the VM list. */
    async markVmLeaving(vmId: string): Promise<void> {
        await postJson(`http://${this.standIns.vmListAddress}/_vms/${vmId}/leave`);
    }

    /** Removes a VM from the VM list. */
    async removeFromVmList(vmId: string): Promise<void> {
        await postJson(`http://${this.standIns.vmListAddress}/_vms/${vmId}`, { method: "DELETE" });
    }

    async setBackendFaults(server: SiteBackendServer, faults: BackendFaultSettings): Promise<void> {
        await postJson(`${server.controlUrl}/_faults`, { body: faults });
    }

    async controlBackend(server: SiteBackendServer, action: "crash" | "restart" | "drain"): Promise<void> {
        await postJson(`${server.controlUrl}/_${action}`);
    }

    /** Stops all processes of the site, and removes its directory unless `keepDirectory` is set. */
    async stop(opts: { readonly keepDirectory?: boolean; } = {}): Promise<void> {
        await Promise.all([...this.processes.values()].map(started => started.stop({ graceMs: 3000 })));
        await this.standIns.stop();
        await this.daemonReaper.stop({ graceMs: 1000 });
        if (opts.keepDirectory !== true) {
            rmSync(this.directory, { recursive: true, force: true });
        }
    }
}
