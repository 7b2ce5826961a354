import { type Outcome, PlatformCaller } from "@marigoldstall-private/platform";
import { RandomSource } from "@marigoldstall-private/random";
import { setTimeout as sleep } from "node:timers/promises";
import { checkInvariants } from "./check-invariants.js";
import { ConfigurationWatch } from "./configuration-watch.js";
import { findIgnoredDirectives } from "./find-ignored-directives.js";
import { findRequestsCutByStop } from "./find-requests-cut-by-stop.js";
import { findUnusedServers } from "./find-unused-servers.js";
import { injectFaults } from "./inject-faults.js";
import { injectServerDirectives } from "./inject-server-directives.js";
import { injectStoreRestores } from "./inject-store-restores.js";
import { SoakSite } from "./soak-site.js";

interface RunSoakOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly vmCount?: number;
    /** Whether the store is restored from older copies. Default: true. */
    readonly hasRestores?: boolean;
    /** Whether servers state limits, leave or ask for time, and a request ends servers. Default: true. */
    readonly hasDirectives?: boolean;
    readonly log?: (line: string) => void;
}

interface SoakResult {
    readonly violations: readonly string[];
    readonly requestCount: number;
    readonly successRatio: number;
    /** Directory of the daemons' logs. */
    readonly directory: string;
}

const REQUESTS_PER_SECOND = 40;
const MEAN_WORK_MS = 60;
const STATUS_OK = 200;
// Time before the faults, in which the first changes come into force on all VMs.
const PRELUDE_MS = 4_500;
// Time after the faults. The changes made at its beginning must be in force at its end, which is late enough after the
// last fault for the checks to apply.
const CALM_MS = 7_500;

/** Runs the soak test with one seed. */
export const runSoak = async (opts: RunSoakOptions): Promise<SoakResult> => {
    const random = new RandomSource({ seed: opts.seed });
    const startedAtMs = performance.now();
    const log = (line: string): void => {
        opts.log?.(`${Math.round(performance.now() - startedAtMs)} ms  ${line}`);
    };
    // A separate source, so that the faults of a seed do not depend on the service times of its requests.
    const workRandom = new RandomSource({ seed: opts.seed + 1 });
    // A source for the restores, so that the other faults of a seed stay the same.
    const restoreRandom = new RandomSource({ seed: opts.seed + 2 });
    const site = new SoakSite({
        vmCount: opts.vmCount ?? 4,
        serverCount: 8,
        workMs: () => MEAN_WORK_MS * (0.5 + workRandom.uniform()),
    });
    const outcomes: Outcome[] = [];
    const pending: Promise<void>[] = [];
    const callers = new Map<string, PlatformCaller>();
    const watch = new ConfigurationWatch(site);
    let unusedServers: readonly string[] = [];
    let ignoredDirectives: readonly string[] = [];
    let requestCount = 0;
    const nextRequestId = (vmId: string): string => {
        const requestId = `${opts.seed}-${requestCount}`;
        requestCount += 1;
        site.vmIdByRequest.set(requestId, vmId);
        return requestId;
    };
    const directiveRandom = new RandomSource({ seed: opts.seed + 3 });
    const deadlyIds = new Set<string>();
    const sendDeadly = (): void => {
        const vmId = site.vmIds[Math.floor(directiveRandom.uniform() * site.vmIds.length)] ?? "";
        const requestId = nextRequestId(vmId);
        deadlyIds.add(requestId);
        pending.push(
            callers.get(vmId)?.send(requestId, { isIdempotent: true, path: "/read/1?crash" }).then(onOutcome)
                ?? Promise.resolve(),
        );
    };
    const onOutcome = (outcome: Outcome): void => {
        outcomes.push(outcome);
    };
    try {
        await site.start();
        for (const vmId of site.vmIds) {
            callers.set(vmId, new PlatformCaller({ vmId, address: site.addressOf(vmId), host: site.publicHost }));
        }
        const traffic = setInterval(() => {
            const vmId = site.vmIds[requestCount % site.vmIds.length] ?? "";
            const requestId = nextRequestId(vmId);
            const sent = callers.get(vmId)?.send(requestId, { isIdempotent: requestCount % 3 !== 0 });
            if (sent !== undefined) {
                pending.push(sent.then(onOutcome));
            }
        }, 1_000 / REQUESTS_PER_SECOND);
        watch.start();
        site.letOldestLeave();
        site.letOldestLeave();
        site.publishConfiguration();
        await sleep(PRELUDE_MS);
        const restoresDurationMs = opts.hasRestores === false ? 0 : opts.durationMs;
        const [periods] = await Promise.all([
            opts.hasDirectives === false
                ? []
                : injectServerDirectives(site, {
                    random: directiveRandom,
                    durationMs: opts.durationMs,
                    log,
                    sendDeadly,
                }),
            injectFaults(site, { random, durationMs: opts.durationMs, log }),
            injectStoreRestores(site, { random: restoreRandom, durationMs: restoresDurationMs, log }),
        ]);
        log("the faults have ended");
        await site.addServer();
        site.letOldestLeave();
        site.publishConfiguration();
        await sleep(CALM_MS);
        clearInterval(traffic);
        await Promise.all(pending);
        ignoredDirectives = findIgnoredDirectives(site, { periods, deadlyIds, outcomes });
        unusedServers = await findUnusedServers(site, { callers, nextRequestId, onOutcome });
    }
    finally {
        watch.stop();
        for (const caller of callers.values()) {
            caller.close();
        }
        await site.stop();
    }
    const requestsCutByStop = findRequestsCutByStop({ outcomes, runs: site.runs, vmFaults: site.vmFaults });
    const violations = checkInvariants({
        outcomes,
        runs: site.runs,
        runsAfterDrain: site.runsAfterDrain,
        requestsCutByStop,
        ignoredDirectives,
        unusedServers,
        olderConfigurations: [...watch.violations],
        vmFaults: site.vmFaults,
    });
    const successCount = outcomes.filter(outcome => outcome.statusCode === STATUS_OK).length;
    return {
        violations,
        requestCount: outcomes.length,
        successRatio: successCount / Math.max(1, outcomes.length),
        directory: site.directory,
    };
};
