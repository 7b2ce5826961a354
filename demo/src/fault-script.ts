import type { Site, SiteBackendServer, SiteDaemon } from "@marigoldstall-private/sites";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { parse, stringify } from "yaml";
import type { FaultsSeen } from "./faults-seen.js";
import { publishTargets } from "./publish-targets.js";
import type { ScriptStep } from "./script-step.js";

const LIST_LAG_MS = 30_000;
const PUBLISH_TIMEOUT_MS = 15_000;
const NEW_VM_TIMEOUT_MS = 8000;
const READY_POLL_MS = 50;
/** Shares of the run's duration at which the steps begin, so that each has time to show before the next. */
const SHARES = {
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
        throw new Error("the site has too few processes for the demonstration");
    }
    return item;
};

/** Faults in the middle of the demonstration. */
export class FaultScript {
    private readonly site: Site;
    private readonly targetsFile: string;
    private readonly durationMs: number;
    private readonly killed: SiteDaemon;
    private readonly stopped: SiteDaemon;
    private readonly crashing: SiteBackendServer;
    private readonly leaving: SiteBackendServer;
    private killedAtMs = 0;
    private inForceAfterMs: number | undefined;
    private newVmReadyAfterMs: number | undefined;

    constructor(site: Site, opts: { readonly targetsFile: string; readonly durationMs: number; }) {
        this.site = site;
        this.targetsFile = opts.targetsFile;
        this.durationMs = opts.durationMs;
        this.killed = pick(site.daemons, 1);
        this.stopped = pick(site.daemons, 4);
        const keyed = site.layout.classes.find(callClass => !callClass.repeatable);
        const service = keyed?.path.split("/")[1];
        const ofKeyed = site.backendServers.filter(server => server.service === service);
        this.crashing = pick(ofKeyed, 0);
        this.leaving = pick(
            site.backendServers.filter(server => server.service === site.layout.services[0]?.service),
            2,
        );
    }

    get seen(): FaultsSeen {
        return {
            killed: this.killed,
            killedAtMs: this.killedAtMs,
            stopped: this.stopped,
            leavingVmId: this.leaving.vmId,
            inForceAfterMs: this.inForceAfterMs,
            newVmReadyAfterMs: this.newVmReadyAfterMs,
        };
    }

    steps(): readonly ScriptStep[] {
        const { site, killed, stopped, crashing, leaving } = this;
        const step = (name: keyof typeof SHARES, title: string, run: () => Promise<void>): ScriptStep => (
            { atMs: SHARES[name] * this.durationMs, title, run }
        );
        return [
            step("publish", "publish changed targets; the VM list is 30 s late from now on", async () => {
                await site.setVmListFaults({ lagMs: LIST_LAG_MS });
                this.inForceAfterMs = await this.publishChanged();
            }),
            step("kill", `kill daemon ${killed.vmId} (SIGKILL)`, async () => {
                this.killedAtMs = performance.timeOrigin + performance.now();
                site.processOf(killed).kill("SIGKILL");
                await site.processOf(killed).exited;
                await site.removeFromVmList(killed.vmId);
            }),
            step("stop", `stop daemon ${stopped.vmId} (SIGTERM)`, async () => {
                site.processOf(stopped).kill("SIGTERM");
                await site.markVmLeaving(stopped.vmId);
            }),
            step("crash", `crash backend server ${crashing.vmId} after its next run, before it answers`, async () => {
                await site.setBackendFaults(crashing, { crashAfterRun: true });
            }),
            step("logDown", "log service down", async () => {
                await site.setLogFaults({ outage: "refuse" });
            }),
            step("newVm", `start ${killed.vmId} again as a new VM while the log is down`, async () => {
                await site.startDaemon(killed);
                void this.measureNewVm();
            }),
            step("logUp", "log service up", async () => {
                await site.setLogFaults({});
            }),
            step("leave", `backend server ${leaving.vmId} leaves; the VM list will say so in 30 s`, async () => {
                await site.markVmLeaving(leaving.vmId);
                await site.controlBackend(leaving, "drain");
            }),
            step("restart", `restart backend server ${crashing.vmId}`, async () => {
                await site.controlBackend(crashing, "restart");
            }),
        ];
    }

    private async publishChanged(): Promise<number> {
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
        while (performance.now() - startedAtMs < NEW_VM_TIMEOUT_MS) {
            if (await this.site.isReady(this.killed)) {
                this.newVmReadyAfterMs = performance.now() - startedAtMs;
                return;
            }
            await delay(READY_POLL_MS);
        }
    }
}
