import type { RandomSource } from "@marigoldstall-private/random";
import type { ProxyMode } from "./proxy-mode.js";
import type { SoakSite } from "./soak-site.js";

interface PlayFaultsOptions {
    readonly random: RandomSource;
    readonly durationMs: number;
    readonly log: (line: string) => void;
}

const PROXY_MODES: readonly ProxyMode[] = ["delay", "silence", "silence-answers", "reset", "refuse"];
const STORE_FAULTS = ["busy", "silent", "reset", "slow", "answers-lost"] as const;
const MAX_FAULT_MS = 2_500;
const MAX_PAUSE_MS = 700;
const RESTART_MS = 300;
const SERVERS_LEFT = 3;

const sleep = (durationMs: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });

const pick = <Value>(values: readonly Value[], random: RandomSource): Value =>
    values[Math.floor(random.uniform() * values.length)] as Value;

const troubleServer = async (site: SoakSite, opts: PlayFaultsOptions): Promise<void> => {
    const entry = pick(site.servers, opts.random);
    const mode = pick(PROXY_MODES, opts.random);
    opts.log(`proxy of ${entry.server.instanceId}: ${mode}`);
    entry.proxy.setMode(mode);
    await sleep(opts.random.uniform() * MAX_FAULT_MS);
    entry.proxy.setMode("pass");
};

const troubleStore = async (site: SoakSite, opts: PlayFaultsOptions): Promise<void> => {
    const kind = pick(STORE_FAULTS, opts.random);
    const callers = opts.random.uniform() < 0.5 ? undefined : [site.hostOf(pick(site.vmIds, opts.random))];
    opts.log(`store: ${kind} for ${callers?.join() ?? "all"}`);
    site.store.fault = { kind, delayMs: 400, ...callers === undefined ? {} : { callers } };
    const endAtMs = performance.now() + opts.random.uniform() * 2 * MAX_FAULT_MS;
    while (performance.now() < endAtMs) {
        site.storeTroubledAtMs = performance.now();
        await sleep(50);
    }
    site.store.fault = { kind: "none" };
    if (opts.random.uniform() < 0.3) {
        opts.log("store: history forgotten");
        site.store.truncateRegistrations();
    }
};

const signalVm = async (site: SoakSite, opts: PlayFaultsOptions): Promise<void> => {
    const vmId = pick(site.vmIds, opts.random);
    const started = site.process(vmId);
    if (started?.running !== true) {
        return;
    }
    const what = pick(["kill", "stop", "pause", "reload"] as const, opts.random);
    opts.log(`${vmId}: ${what}`);
    if (what === "reload") {
        started.kill("SIGHUP");
        return;
    }
    const startedAtMs = performance.now();
    const note = (): void => {
        site.disturbances.push({ vmId, kind: what, startedAtMs, endedAtMs: performance.now() });
    };
    if (what === "pause") {
        site.storeTroubledAtMs = performance.now();
        started.kill("SIGSTOP");
        await sleep(opts.random.uniform() * MAX_FAULT_MS);
        started.kill("SIGCONT");
        site.storeTroubledAtMs = performance.now();
        note();
        return;
    }
    started.kill(what === "kill" ? "SIGKILL" : "SIGTERM");
    await started.exited;
    note();
    await sleep(RESTART_MS);
    // Signals overlap; whoever comes first restarts the VM.
    if (site.process(vmId) === started) {
        site.startVm(vmId);
    }
};

const change = async (site: SoakSite, opts: PlayFaultsOptions): Promise<void> => {
    if (opts.random.uniform() < 0.5) {
        opts.log("configuration: new version");
        site.configure();
        return;
    }
    opts.log("servers: one added");
    await site.addServer();
    if (site.servers.length - site.drainingSinceMs.size > SERVERS_LEFT) {
        opts.log("servers: the oldest drains");
        site.drainOldest();
    }
};

/** Injects faults, which overlap, until the time is over; returns when all of them have ended. */
export const playFaults = async (site: SoakSite, opts: PlayFaultsOptions): Promise<void> => {
    const endAtMs = performance.now() + opts.durationMs;
    const running: Promise<void>[] = [];
    while (performance.now() < endAtMs) {
        const fault = pick([troubleServer, troubleServer, troubleStore, signalVm, signalVm, change], opts.random);
        running.push(fault(site, opts));
        await sleep(opts.random.uniform() * MAX_PAUSE_MS);
    }
    await Promise.all(running);
};
