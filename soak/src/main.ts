import { Command } from "commander";
import { randomInt } from "node:crypto";
import { runSoak } from "./run-soak.js";

const MAX_SEED = 2 ** 31;

interface SoakFlags {
    readonly seed?: string;
    readonly seeds: string;
    readonly seconds: string;
    readonly vms: string;
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
            ...flags.verbose === true ? { log: (line: string) => console.log(line) } : {},
        });
        failed += result.broken.length === 0 ? 0 : 1;
        console.log(
            `seed ${seed}: ${result.requestCount} requests, ${(100 * result.servedShare).toFixed(1)}% served, `
                + `${result.broken.length} promises broken; logs in ${result.directory}`,
        );
        for (const line of result.broken.slice(0, 10)) {
            console.log(`    ${line}`);
        }
    }
    console.log(`${seeds.length - failed} of ${seeds.length} seeds without a broken promise`);
    process.exitCode = failed === 0 ? 0 : 1;
};

await new Command("soak")
    .description("Plays random faults against entry daemons on loopback and checks their promises.")
    .option("--seed <number>", "play this seed")
    .option("--seeds <count>", "play this many fresh seeds", "3")
    .option("--seconds <count>", "time of faults for each seed", "10")
    .option("--vms <count>", "daemons", "4")
    .option("--verbose", "print the faults")
    .action(run)
    .parseAsync();
