import { Command } from "commander";
import { randomInt } from "node:crypto";
import { formatEarlyEnds } from "./format-early-ends.js";
import { runProcessEnds } from "./run-process-ends.js";
import { runSoak } from "./run-soak.js";

const MAX_SEED = 2 ** 31;
const MAX_PRINTED_VIOLATIONS = 10;

interface SoakFlags {
    readonly seed?: string;
    readonly seeds: string;
    readonly seconds: string;
    readonly vms?: string;
    readonly restores: boolean;
    readonly directives: boolean;
    readonly processEnds?: boolean;
    readonly earlyReloads?: boolean;
    readonly verbose?: boolean;
}

const playProcessEnds: typeof runProcessEnds = async opts => {
    const result = await runProcessEnds(opts);
    const { ends, startCount, highestMemoryMb } = result;
    const table = opts.hasEarlyReloads === true ? `; ${formatEarlyEnds(ends, { startCount })}` : "";
    console.log(`${startCount} processes started, at most ${highestMemoryMb} MB each${table}`);
    return result;
};

const run = async (flags: SoakFlags): Promise<void> => {
    const seeds = flags.seed === undefined
        ? [...Array(Number(flags.seeds)).keys()].map(() => randomInt(MAX_SEED))
        : [Number(flags.seed)];
    let failed = 0;
    for (const seed of seeds) {
        const common = {
            seed,
            durationMs: Number(flags.seconds) * 1_000,
            ...flags.vms === undefined ? {} : { vmCount: Number(flags.vms) },
            ...flags.verbose === true ? { log: (line: string) => console.log(line) } : {},
        };
        const result = await (flags.processEnds === true || flags.earlyReloads === true
            ? playProcessEnds({ ...common, hasEarlyReloads: flags.earlyReloads === true })
            : runSoak({ ...common, hasRestores: flags.restores, hasDirectives: flags.directives }));
        failed += result.violations.length === 0 ? 0 : 1;
        console.log(
            `seed ${seed}: ${result.requestCount} requests, ${(100 * result.successRatio).toFixed(1)}% served, `
                + `${result.violations.length} violations; logs in ${result.directory}`,
        );
        for (const line of result.violations.slice(0, MAX_PRINTED_VIOLATIONS)) {
            console.log(`    ${line}`);
        }
    }
    console.log(`${seeds.length - failed} of ${seeds.length} seeds without violations`);
    process.exitCode = failed === 0 ? 0 : 1;
};

await new Command("soak")
    .description("Injects random faults into entry daemons on loopback and checks their guarantees.")
    .option("--seed <number>", "run this seed")
    .option("--seeds <count>", "run this many random seeds", "3")
    .option("--seconds <count>", "duration of the faults for each seed", "10")
    .option("--vms <count>", "number of entry daemons (default: 4, or 13 with --process-ends)")
    .option("--no-restores", "do not restore the store from older copies")
    .option("--no-directives", "no limits, leaving servers, rejections with Retry-After and requests that end servers")
    .option("--process-ends", "play the faults of zilina-kociky and check that no process ends by itself")
    .option("--early-reloads", "the same, with SIGHUP from the start of each process on, and a table of the ends")
    .option("--verbose", "print each fault")
    .action(run)
    .parseAsync();
