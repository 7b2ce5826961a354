import { Command } from "commander";
import * as Schema from "effect/Schema";
import { readFileSync } from "node:fs";
import { CallerOptions } from "./caller-options.js";
import { Caller } from "./caller.js";

const decodeOptions = Schema.decodeUnknownSync(CallerOptions, { onExcessProperty: "error" });

const command = new Command("caller-stand-in")
    .description("Sends calls at the configured rates and prints a report as one line of JSON.")
    .requiredOption("--plan <file>", "JSON file with the options of the caller")
    .option("--without-calls", "omit the records of individual calls from the report")
    .option("--until-stdin-ends", "stop when standard input ends, which it does when the parent process dies")
    .action(async (opts: { plan: string; withoutCalls?: true; untilStdinEnds?: true; }) => {
        const caller = new Caller(decodeOptions(JSON.parse(readFileSync(opts.plan, "utf8"))));
        const stop = () => caller.stop();
        process.once("SIGTERM", stop).once("SIGINT", stop);
        if (opts.untilStdinEnds) {
            process.stdin.once("close", () => process.exit(1)).resume();
        }
        const report = await caller.run();
        console.log(JSON.stringify(opts.withoutCalls ? { ...report, calls: [] } : report));
        process.stdin.removeAllListeners("close").destroy();
    });
await command.parseAsync();
