import type { RandomSource } from "@marigoldstall-private/random";
import type { ProxyMode } from "./proxy-mode.js";
import type { SoakSite } from "./soak-site.js";

interface InjectFaultsOptions {
    readonly random: RandomSource;
    readonly durationMs: number;
    readonly log: (line: string) => void;
}

const PROXY_MODES: readonly ProxyMode[] = ["delay", "drop", "drop-responses", "reset", "refuse"];
const STORE_FAULTS = ["busy", "silent", "reset", "slow", "answers-lost"] as const;
const MAX_FAULT_MS = 2_500;
const MAX_FAULT_INTERVAL_MS = 700;
const RESTART_DELAY_MS = 300;
const MIN_ACTIVE_SERVERS = 3;

const sleep = (durationMs: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });

const pick = <Value>(values: readonly Value[], random: RandomSource): Value =>
    values[Math.floor(random.uniform() * values.length)] as Value;

const injectServerFault = async (site: SoakSite, opts: InjectFaultsOptions): Promise<void> => {
    const entry = pick(site.servers, opts.random);
    const mode = pick(PROXY_MODES, opts.random);
    opts.log(`proxy of ${entry.server.instanceId}: ${mode}`);
    entry.proxy.setMode(mode);
    await sleep(opts.random.uniform() * MAX_FAULT_MS);
    entry.proxy.setMode("pass");
};

const injectStoreFault = async (site: SoakSite, opts: InjectFaultsOptions): Promise<void> => {
    const kind = pick(STORE_FAULTS, opts.random);
    const callers = opts.random.uniform() < 0.5 ? undefined : [site.hostOf(pick(site.vmIds, opts.random))];
    opts.log(`store: ${kind} for ${callers?.join() ?? "all"}`);
    site.store.fault = { kind, delayMs: 400, ...callers === undefined ? {} : { callers } };
    const endAtMs = performance.now() + opts.random.uniform() * 2 * MAX_FAULT_MS;
    while (performance.now() < endAtMs) {
        site.lastStoreFaultAtMs = performance.now();
        await sleep(50);
    }
    site.store.fault = { kind: "none" };
    if (opts.random.uniform() < 0.3) {
        opts.log("store: registration history discarded");
        site.store.truncateRegistrations();
    }
};

const injectVmFault = async (site: SoakSite, opts: InjectFaultsOptions): Promise<void> => {
    const vmId = pick(site.vmIds, opts.random);
    const vmProcess = site.process(vmId);
    if (vmProcess?.running !== true) {
        return;
    }
    const faultKind = pick(["kill", "stop", "pause", "reload"] as const, opts.random);
    opts.log(`${vmId}: ${faultKind}`);
    if (faultKind === "reload") {
        // SIGHUP ends a process that has not installed its handlers yet, and nothing would start it again.
        if (site.hasStarted(vmId)) {
            vmProcess.kill("SIGHUP");
        }
        return;
    }
    const startedAtMs = performance.now();
    site.disturb(vmId);
    const recordFault = (): void => {
        site.disturb(vmId);
        site.vmFaults.push({ vmId, kind: faultKind, startedAtMs, endedAtMs: performance.now() });
    };
    if (faultKind === "pause") {
        site.lastStoreFaultAtMs = performance.now();
        vmProcess.kill("SIGSTOP");
        await sleep(opts.random.uniform() * MAX_FAULT_MS);
        vmProcess.kill("SIGCONT");
        site.lastStoreFaultAtMs = performance.now();
        recordFault();
        return;
    }
    vmProcess.kill(faultKind === "kill" ? "SIGKILL" : "SIGTERM");
    await vmProcess.exited;
    recordFault();
    await sleep(RESTART_DELAY_MS);
    // Several faults may hit the same process. The first to finish restarts the VM.
    if (site.process(vmId) === vmProcess) {
        site.startVm(vmId);
    }
};

const changeDeployment = async (site: SoakSite, opts: InjectFaultsOptions): Promise<void> => {
    if (opts.random.uniform() < 0.5) {
        opts.log("configuration: publishing a new version");
        site.publishConfiguration();
        return;
    }
    opts.log("servers: adding one");
    await site.addServer();
    if (site.liveServers.length > MIN_ACTIVE_SERVERS) {
        opts.log("servers: the oldest leaves");
        site.letOldestLeave();
    }
};

/** Injects overlapping faults until the duration has elapsed. Resolves when all of them have ended. */
export const injectFaults = async (site: SoakSite, opts: InjectFaultsOptions): Promise<void> => {
    const endAtMs = performance.now() + opts.durationMs;
    const running: Promise<void>[] = [];
    while (performance.now() < endAtMs) {
        const fault = pick([
            injectServerFault,
            injectServerFault,
            injectStoreFault,
            injectVmFault,
            injectVmFault,
            changeDeployment,
        ], opts.random);
        running.push(fault(site, opts));
        await sleep(opts.random.uniform() * MAX_FAULT_INTERVAL_MS);
    }
    await Promise.all(running);
};
