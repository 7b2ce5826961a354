import { type Outcome, PlatformCaller } from "@marigoldstall-private/platform";
import { RandomSource } from "@marigoldstall-private/random";
import { checkInvariants } from "./check-invariants.js";
import { findRequestsCutByStop } from "./find-requests-cut-by-stop.js";
import { injectFaults } from "./inject-faults.js";
import { SoakSite } from "./soak-site.js";

interface RunSoakOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly vmCount?: number;
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

/** Runs the soak test with one seed. */
export const runSoak = async (opts: RunSoakOptions): Promise<SoakResult> => {
    const random = new RandomSource({ seed: opts.seed });
    const startedAtMs = performance.now();
    const log = (line: string): void => {
        opts.log?.(`${Math.round(performance.now() - startedAtMs)} ms  ${line}`);
    };
    // A separate source, so that the faults of a seed do not depend on the service times of its requests.
    const workRandom = new RandomSource({ seed: opts.seed + 1 });
    const site = new SoakSite({
        vmCount: opts.vmCount ?? 4,
        serverCount: 6,
        workMs: () => MEAN_WORK_MS * (0.5 + workRandom.uniform()),
    });
    const outcomes: Outcome[] = [];
    const pending: Promise<void>[] = [];
    const callers = new Map<string, PlatformCaller>();
    try {
        await site.start();
        for (const vmId of site.vmIds) {
            callers.set(vmId, new PlatformCaller({ vmId, address: site.addressOf(vmId), host: site.publicHost }));
        }
        let count = 0;
        const traffic = setInterval(() => {
            const vmId = site.vmIds[count % site.vmIds.length] ?? "";
            const requestId = `${opts.seed}-${count}`;
            count += 1;
            const sent = callers.get(vmId)?.send(requestId, { isIdempotent: count % 3 !== 0 });
            if (sent !== undefined) {
                pending.push(sent.then(outcome => {
                    outcomes.push(outcome);
                }));
            }
        }, 1_000 / REQUESTS_PER_SECOND);
        await injectFaults(site, { random, durationMs: opts.durationMs, log });
        clearInterval(traffic);
        await Promise.all(pending);
    }
    finally {
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
