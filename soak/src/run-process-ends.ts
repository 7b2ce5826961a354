import { type Outcome, PlatformCaller } from "@marigoldstall-private/platform";
import { RandomSource } from "@marigoldstall-private/random";
import { setTimeout as sleep } from "node:timers/promises";
import { findUnexpectedEnds } from "./find-unexpected-ends.js";
import { findUnexpectedLines } from "./find-unexpected-lines.js";
import { injectProcessFaults } from "./inject-process-faults.js";
import type { ProcessEnd } from "./process-end.js";
import { ProcessWatch } from "./process-watch.js";
import { reloadVm } from "./reload-vm.js";
import { SoakSite } from "./soak-site.js";

interface RunProcessEndsOptions {
    readonly seed: number;
    readonly durationMs: number;
    /** Default: as many as zilina-kociky has. */
    readonly vmCount?: number;
    /** Whether processes get SIGHUP from their start on, which may end them. Default: after they have loaded. */
    readonly hasEarlyReloads?: boolean;
    readonly log?: (line: string) => void;
}

interface ProcessEndsResult {
    readonly violations: readonly string[];
    readonly ends: readonly ProcessEnd[];
    readonly startCount: number;
    readonly highestMemoryMb: number;
    readonly requestCount: number;
    readonly successRatio: number;
    /** Directory of the daemons' logs. */
    readonly directory: string;
}

// Five, three, two and three VMs in the four zones of zilina-kociky, which also has 33 servers.
const ZONES = [..."aaaaabbbccddd"];
const SERVER_COUNT = 33;
const MEMORY_LIMIT_MB = 350;
const MEAN_WORK_MS = 60;
const TICK_MS = 15;
const IDEMPOTENT_SHARE = 0.7;
const LARGE_SHARE = 0.1;
const LARGE_PATH = "/read/1?bodyBytes=90000";
const MAX_STAY_MS = 300;
const RESTART_DELAY_MS = 300;
// Signals reach a process in the time in which it reads settings, opens ports and joins the fleet.
const LOADED_PERIOD_MS = 2_000;
const EARLY_PERIOD_MS = 400;
const READY_LIMIT_MS = 15_000;
const STATUS_OK = 200;

/** Runs processes under the faults of zilina-kociky with one seed, and checks that none ends by itself. */
export const runProcessEnds = async (opts: RunProcessEndsOptions): Promise<ProcessEndsResult> => {
    const { hasEarlyReloads = false } = opts;
    const random = new RandomSource({ seed: opts.seed });
    const trafficRandom = new RandomSource({ seed: opts.seed + 1 });
    const beganAtMs = performance.now();
    const log = (line: string): void => {
        opts.log?.(`${Math.round(performance.now() - beganAtMs)} ms  ${line}`);
    };
    const reloadWithin = async (vmId: string, periodMs: number): Promise<void> => {
        const started = site.process(vmId);
        await sleep(random.uniform() * periodMs);
        if (started?.running === true && site.process(vmId) === started) {
            await reloadVm(site, vmId, { random, isCut: random.uniform() < 0.5 });
        }
    };
    let isStopping = false;
    const watch = new ProcessWatch({
        onLoaded: vmId => {
            void reloadWithin(vmId, LOADED_PERIOD_MS);
        },
        onEnded: vmId => {
            setTimeout(() => {
                if (!isStopping) {
                    site.startVm(vmId);
                }
            }, RESTART_DELAY_MS);
        },
    });
    const site = new SoakSite({
        vmCount: opts.vmCount ?? ZONES.length,
        serverCount: SERVER_COUNT,
        workMs: () => MEAN_WORK_MS * (0.5 + trafficRandom.uniform()),
        zones: ZONES,
        onVmStarted: (vmId, started) => {
            watch.add(vmId, started, { logFile: site.logFile(vmId) });
            if (hasEarlyReloads) {
                void reloadWithin(vmId, EARLY_PERIOD_MS);
            }
        },
    });
    const outcomes: Outcome[] = [];
    const pending: Promise<void>[] = [];
    const callers = new Map<string, PlatformCaller>();
    let traffic = { requestsPerTick: 1, leavingShare: 0 };
    const setTraffic = (fields: Partial<typeof traffic>): void => {
        traffic = { ...traffic, ...fields };
    };
    const violations: string[] = [];
    let requestCount = 0;
    const sendRequest = (): void => {
        const vmId = site.vmIds[Math.floor(trafficRandom.uniform() * site.vmIds.length)] ?? "";
        const isIdempotent = trafficRandom.uniform() < IDEMPOTENT_SHARE;
        requestCount += 1;
        const sent = callers.get(vmId)?.send(`${opts.seed}-${requestCount}`, {
            isIdempotent,
            ...isIdempotent && trafficRandom.uniform() < LARGE_SHARE ? { path: LARGE_PATH } : {},
            ...trafficRandom.uniform() < traffic.leavingShare
                ? { leaveAfterMs: trafficRandom.uniform() * MAX_STAY_MS }
                : {},
        });
        if (sent !== undefined) {
            pending.push(sent.then(outcome => {
                outcomes.push(outcome);
            }));
        }
    };
    const waitUntilAllReady = async (): Promise<void> => {
        const isReady = await Promise.race([
            site.waitUntilReady(site.vmIds).then(() => true),
            sleep(READY_LIMIT_MS, false),
        ]);
        if (!isReady) {
            violations.push(`not all VMs were ready within ${READY_LIMIT_MS} ms after the faults`);
        }
    };
    let trafficTimer: NodeJS.Timeout | undefined;
    try {
        await site.start();
        for (const vmId of site.vmIds) {
            callers.set(vmId, new PlatformCaller({ vmId, address: site.addressOf(vmId), host: site.publicHost }));
        }
        trafficTimer = setInterval(() => {
            for (let index = 0; index < traffic.requestsPerTick; index += 1) {
                sendRequest();
            }
        }, TICK_MS);
        await injectProcessFaults(site, { random, durationMs: opts.durationMs, log, watch, callers, setTraffic });
        await sleep(LOADED_PERIOD_MS);
        await waitUntilAllReady();
        clearInterval(trafficTimer);
        await Promise.all(pending);
    }
    finally {
        clearInterval(trafficTimer);
        isStopping = true;
        watch.stop();
        for (const caller of callers.values()) {
            caller.close();
        }
        await site.stop();
    }
    if (watch.highestMemoryMb > MEMORY_LIMIT_MB) {
        violations.push(`a process took ${watch.highestMemoryMb} MB of memory`);
    }
    const successCount = outcomes.filter(outcome => outcome.statusCode === STATUS_OK).length;
    return {
        violations: [
            ...findUnexpectedEnds(watch.ends, { hasEarlyReloads }),
            ...site.vmIds.flatMap(vmId => findUnexpectedLines(site.logFile(vmId))),
            ...violations,
        ],
        ends: watch.ends,
        startCount: watch.startCount,
        highestMemoryMb: watch.highestMemoryMb,
        requestCount: outcomes.length,
        successRatio: successCount / Math.max(1, outcomes.length),
        directory: site.directory,
    };
};
