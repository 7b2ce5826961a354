import type { Site, SiteBackendServer, SiteDaemon } from "@marigoldstall-private/sites";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { parse, stringify } from "yaml";
import type { FaultScriptResult } from "./fault-script-result.js";
import { publishTargets } from "./publish-targets.js";
import type { ScriptStep } from "./script-step.js";

const VM_LIST_LAG_MS = 30_000;
const PUBLISH_TIMEOUT_MS = 15_000;
const NEW_VM_READY_TIMEOUT_MS = 8000;
const READY_POLL_INTERVAL_MS = 50;
/** Start of each step as a fraction of the run's duration, spaced so that each takes effect before the next. */
const STEP_START_FRACTIONS = {
    publish: 0.05,
    kill: 0.2,
    stop: 0.3,
    crash: 0.4,
    logDown: 0.45,
    newVm: 0.52,
    logUp: 0.7,
    leave: 0.75,
    restart: 0.8,
} as const;

const pick = <T>(items: readonly T[], index: number): T => {
    const item = items[index % items.length];
    if (item === undefined) {
        throw new Error("the site has no daemon or backend server to inject this fault into");
    }
    return item;
};

/** Injects faults into a running site at fixed times, and records their effects. */
export class FaultScript {
    private readonly site: Site;
    private readonly targetsFile: string;
    private readonly durationMs: number;
    private readonly killedDaemon: SiteDaemon;
    private readonly stoppedDaemon: SiteDaemon;
    private readonly crashingServer: SiteBackendServer;
    private readonly leavingServer: SiteBackendServer;
    private killedAtMs = 0;
    private inForceAfterMs: number | undefined;
    private newVmReadyAfterMs: number | undefined;

    constructor(site: Site, opts: { readonly targetsFile: string; readonly durationMs: number; }) {
        this.site = site;
        this.targetsFile = opts.targetsFile;
        this.durationMs = opts.durationMs;
        this.killedDaemon = pick(site.daemons, 1);
        this.stoppedDaemon = pick(site.daemons, 4);
        const keyedClass = site.layout.classes.find(callClass => !callClass.repeatable);
        const service = keyedClass?.path.split("/")[1];
        const keyedServers = site.backendServers.filter(server => server.service === service);
        this.crashingServer = pick(keyedServers, 0);
        this.leavingServer = pick(
            site.backendServers.filter(server => server.service === site.layout.services[0]?.service),
            2,
        );
    }

    get result(): FaultScriptResult {
        return {
            killedDaemon: this.killedDaemon,
            killedAtMs: this.killedAtMs,
            stoppedDaemon: this.stoppedDaemon,
            leavingVmId: this.leavingServer.vmId,
            inForceAfterMs: this.inForceAfterMs,
            newVmReadyAfterMs: this.newVmReadyAfterMs,
        };
    }

    steps(): readonly ScriptStep[] {
        const { site, killedDaemon, stoppedDaemon, crashingServer, leavingServer } = this;
        const step = (name: keyof typeof STEP_START_FRACTIONS, title: string, run: () => Promise<void>): ScriptStep => (
            { atMs: STEP_START_FRACTIONS[name] * this.durationMs, title, run }
        );
        return [
            step("publish", "publish changed targets; the VM list lags by 30 s from now on", async () => {
                await site.setVmListFaults({ lagMs: VM_LIST_LAG_MS });
                this.inForceAfterMs = await this.publishChangedTargets();
            }),
            step("kill", `kill daemon ${killedDaemon.vmId} (SIGKILL)`, async () => {
                this.killedAtMs = performance.timeOrigin + performance.now();
                site.processOf(killedDaemon).kill("SIGKILL");
                await site.processOf(killedDaemon).exited;
                await site.removeFromVmList(killedDaemon.vmId);
            }),
            step("stop", `stop daemon ${stoppedDaemon.vmId} (SIGTERM)`, async () => {
                site.processOf(stoppedDaemon).kill("SIGTERM");
                await site.markVmLeaving(stoppedDaemon.vmId);
            }),
            step(
                "crash",
                `make backend server ${crashingServer.vmId} crash after its next run, before it responds`,
                async () => {
                    await site.setBackendFaults(crashingServer, { crashAfterRun: true });
                },
            ),
            step("logDown", "take the log service down", async () => {
                await site.setLogFaults({ outage: "refuse" });
            }),
            step("newVm", `start ${killedDaemon.vmId} again as a new VM while the log is down`, async () => {
                await site.startDaemon(killedDaemon);
                void this.measureNewVm();
            }),
            step("logUp", "bring the log service back up", async () => {
                await site.setLogFaults({});
            }),
            step("leave", `backend server ${leavingServer.vmId} leaves; the VM list shows it after 30 s`, async () => {
                await site.markVmLeaving(leavingServer.vmId);
                await site.controlBackend(leavingServer, "drain");
            }),
            step("restart", `restart backend server ${crashingServer.vmId}`, async () => {
                await site.controlBackend(crashingServer, "restart");
            }),
        ];
    }

    private async publishChangedTargets(): Promise<number> {
        const file = join(this.site.directory, "targets-2.yaml");
        const targets = parse(readFileSync(this.targetsFile, "utf8")) as {
            readonly classes: readonly { readonly turnedAwayAtMostPercent: number; }[];
        };
        const [first, ...others] = targets.classes;
        const classes = [{ ...first, turnedAwayAtMostPercent: 1 }, ...others];
        writeFileSync(file, stringify({ ...targets, classes }));
        return await publishTargets(this.site, { file, waitTimeoutMs: PUBLISH_TIMEOUT_MS });
    }

    private async measureNewVm(): Promise<void> {
        const startedAtMs = performance.now();
        while (performance.now() - startedAtMs < NEW_VM_READY_TIMEOUT_MS) {
            if (await this.site.isReady(this.killedDaemon)) {
                this.newVmReadyAfterMs = performance.now() - startedAtMs;
                return;
            }
            await delay(READY_POLL_INTERVAL_MS);
        }
    }
}
