import { Command } from "commander";
import { randomInt } from "node:crypto";
import { runSoak } from "./run-soak.js";

const MAX_SEED = 2 ** 31;
const MAX_PRINTED_VIOLATIONS = 10;

interface SoakFlags {
    readonly seed?: string;
    readonly seeds: string;
    readonly seconds: string;
    readonly vms: string;
    readonly restores: boolean;
    readonly directives: boolean;
    readonly verbose?: boolean;
}

const run = async (flags: SoakFlags): Promise<void> => {
    const seeds = flags.seed === undefined
        ? [...Array(Number(flags.seeds)).keys()].map(() => randomInt(MAX_SEED))
        : [Number(flags.seed)];
    let failed = 0;
    for (const seed of seeds) {
        const result = await runSoak({
            seed,
            durationMs: Number(flags.seconds) * 1_000,
            vmCount: Number(flags.vms),
            hasRestores: flags.restores,
            hasDirectives: flags.directives,
            ...flags.verbose === true ? { log: (line: string) => console.log(line) } : {},
        });
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
    .option("--vms <count>", "number of entry daemons", "4")
    .option("--no-restores", "do not restore the store from older copies")
    .option("--no-directives", "no limits, leaving servers, rejections with Retry-After and requests that end servers")
    .option("--verbose", "print each fault")
    .action(run)
    .parseAsync();
