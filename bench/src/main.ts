import { Argument, Command } from "commander";
import { controlCost } from "./control-cost.js";
import { passThrough } from "./pass-through.js";
import { policies } from "./policies.js";

const CASES = { "control-cost": controlCost, "pass-through": passThrough, policies };

const command = new Command("bench")
    .description("Runs a benchmark and writes its results to docs/measurements/CASE.md.")
    .addArgument(new Argument("<case>", "benchmark to run").choices(Object.keys(CASES)))
    .option("--seeds <list>", "comma-separated random seeds", "1,2,3")
    .option("--seconds <number>", "measured seconds of each run, after the warm-up", Number, 10)
    .action(async (name: keyof typeof CASES, opts: { seeds: string; seconds: number; }) => {
        const file = await CASES[name]({
            seeds: opts.seeds.split(",").map(Number),
            durationSeconds: opts.seconds,
            print: line => console.log(line),
        });
        console.log(`Results written to ${file}`);
    });
process.once("SIGINT", () => process.exit(130)).once("SIGTERM", () => process.exit(143));
await command.parseAsync();
