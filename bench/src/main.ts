import { Argument, Command } from "commander";
import { controlCost } from "./control-cost.js";
import { passThrough } from "./pass-through.js";
import { policies } from "./policies.js";

const CASES = { "control-cost": controlCost, "pass-through": passThrough, policies };

const command = new Command("bench")
    .description("Measures one case and writes docs/measurements/CASE.md.")
    .addArgument(new Argument("<case>", "what to measure").choices(Object.keys(CASES)))
    .option("--seeds <list>", "seeds, separated by commas", "1,2,3")
    .option("--seconds <number>", "time measured in each run", Number, 10)
    .action(async (name: keyof typeof CASES, opts: { seeds: string; seconds: number; }) => {
        const file = await CASES[name]({
            seeds: opts.seeds.split(",").map(Number),
            seconds: opts.seconds,
            print: line => console.log(line),
        });
        console.log(`written: ${file}`);
    });
process.once("SIGINT", () => process.exit(130)).once("SIGTERM", () => process.exit(143));
await command.parseAsync();
