import type { PlatformCaller } from "@marigoldstall-private/platform";
import type { RandomSource } from "@marigoldstall-private/random";
import { setTimeout as sleep } from "node:timers/promises";
import type { ProcessWatch } from "./process-watch.js";
import { reloadVm } from "./reload-vm.js";
import type { SoakSite } from "./soak-site.js";

interface InjectProcessFaultsOptions {
    readonly random: RandomSource;
    readonly durationMs: number;
    readonly log: (line: string) => void;
    readonly watch: ProcessWatch;
    readonly callers: ReadonlyMap<string, PlatformCaller>;
    readonly setTraffic: (fields: { readonly requestsPerTick?: number; readonly leavingShare?: number; }) => void;
}

type Inject = (site: SoakSite, opts: InjectProcessFaultsOptions) => void | Promise<void>;

// Shares and intervals as zilina-kociky has them, shorter where a run of some seconds would play a fault only once.
const RELOAD_INTERVAL_MS = 2_000;
const RELOAD_SHARE = 0.6;
const HERD_SHARE = 0.55;
const RESET_SERVER_SHARE = 0.35;
const RESET_CONNECTION_SHARE = 0.55;
const FLAP_SHARE = 0.1;
const MAX_FLAP_MS = 1_400;
const BURST_REQUESTS_PER_TICK = 5;
const LEAVING_SHARE = 0.4;
const MIN_REFUSED_SHARE = 0.3;
const STORE_FAULTS = ["busy", "throttled", "reset", "silent", "slow"] as const;
const STORE_DELAY_MS = 400;
const MAX_FAULT_MS = 3_000;
const MAX_INTERVAL_MS = 500;

const pick = <Value>(values: readonly Value[], random: RandomSource): Value =>
    values[Math.floor(random.uniform() * values.length)] as Value;

const reloadSome: Inject = async (site, { random, log, watch }) => {
    const chosen = site.vmIds.filter(vmId => random.uniform() < RELOAD_SHARE && watch.hasLoaded(vmId));
    const isCut = random.uniform() < 0.5;
    log(`SIGHUP to ${chosen.join()}, settings ${isCut ? "cut off" : "complete"}`);
    await Promise.all(chosen.map(vmId => reloadVm(site, vmId, { random, isCut })));
};

const reloadInSeries = async (site: SoakSite, opts: InjectProcessFaultsOptions, endAtMs: number): Promise<void> => {
    while (performance.now() < endAtMs) {
        await reloadSome(site, opts);
        await sleep(RELOAD_INTERVAL_MS);
    }
};

const restartOne: Inject = (site, { random, log, watch }) => {
    const vmId = pick(site.vmIds, random);
    const signal = pick(["SIGTERM", "SIGKILL"] as const, random);
    log(`${signal} to ${vmId}`);
    watch.end(vmId, signal);
};

const killHerd: Inject = (site, { random, log, watch }) => {
    const chosen = site.vmIds.filter(() => random.uniform() < HERD_SHARE);
    log(`SIGKILL to ${chosen.join()}`);
    for (const vmId of chosen) {
        watch.end(vmId, "SIGKILL");
    }
};

const resetConnections: Inject = (site, { random, log, callers }) => {
    const isChosen = (): boolean => random.uniform() < RESET_CONNECTION_SHARE;
    log("connections reset by servers and callers");
    for (const { proxy } of site.servers.filter(() => random.uniform() < RESET_SERVER_SHARE)) {
        proxy.resetConnections(isChosen);
    }
    for (const caller of callers.values()) {
        caller.resetConnections(isChosen);
    }
};

const flapServers: Inject = async (site, { random, log }) => {
    const chosen = site.servers.filter(() => random.uniform() < FLAP_SHARE);
    const endAtMs = performance.now() + 2 * MAX_FAULT_MS * random.uniform();
    log(`${chosen.length} servers flap`);
    while (performance.now() < endAtMs) {
        for (const { proxy } of chosen) {
            proxy.crash(random.uniform() * MAX_FLAP_MS);
        }
        await sleep(MAX_FLAP_MS);
    }
};

const refuseByStore: Inject = async (site, { random, log }) => {
    const kind = pick(STORE_FAULTS, random);
    const share = MIN_REFUSED_SHARE + random.uniform() * (1 - MIN_REFUSED_SHARE);
    const callers = site.vmIds.filter(() => random.uniform() < share).map(vmId => site.hostOf(vmId));
    log(`store: ${kind} for ${callers.length} VMs`);
    const fault = { kind, callers, delayMs: STORE_DELAY_MS };
    site.store.fault = fault;
    await sleep(random.uniform() * MAX_FAULT_MS);
    if (site.store.fault === fault) {
        site.store.fault = { kind: "none" };
    }
};

const burst: Inject = async (site, { random, log, setTraffic }) => {
    log(`burst of callers of ${site.vmIds.length} VMs`);
    setTraffic({ requestsPerTick: BURST_REQUESTS_PER_TICK });
    await sleep(random.uniform() * MAX_FAULT_MS);
    setTraffic({ requestsPerTick: 1 });
};

const leaveEarly: Inject = async (site, { random, log, setTraffic }) => {
    log(`callers of ${site.vmIds.length} VMs leave early`);
    setTraffic({ leavingShare: LEAVING_SHARE });
    await sleep(random.uniform() * MAX_FAULT_MS);
    setTraffic({ leavingShare: 0 });
};

/** Injects the faults of zilina-kociky, overlapping, until the duration has elapsed. Resolves when all have ended. */
export const injectProcessFaults = async (site: SoakSite, opts: InjectProcessFaultsOptions): Promise<void> => {
    const { random } = opts;
    const endAtMs = performance.now() + opts.durationMs;
    const running: (void | Promise<void>)[] = [reloadInSeries(site, opts, endAtMs)];
    while (performance.now() < endAtMs) {
        const isHerd = random.uniform() < 0.04;
        const inject = pick([
            restartOne,
            restartOne,
            resetConnections,
            resetConnections,
            flapServers,
            refuseByStore,
            refuseByStore,
            burst,
            leaveEarly,
        ], random);
        running.push((isHerd ? killHerd : inject)(site, opts));
        await sleep(random.uniform() * MAX_INTERVAL_MS);
    }
    await Promise.all(running);
};
