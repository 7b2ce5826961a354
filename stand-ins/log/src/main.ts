import { Command } from "commander";
import { LogStandIn } from "./log-stand-in.js";

const command = new Command("log-stand-in")
    .description("Runs the stand-in for the log service on 127.0.0.1 and prints its address as one line of JSON.")
    .option("--port <number>", "port to listen on; 0 selects a free port", Number, 0)
    .option(
        "--appends-per-second <number>",
        "maximum number of appends per second; further appends get a 429",
        Number,
        400,
    )
    .option("--retention-ms <number>", "age in milliseconds at which records are removed", Number, 3_600_000)
    .option("--until-stdin-ends", "stop when standard input ends, which it does when the parent process dies")
    .action(async (opts: { port: number; appendsPerSecond: number; retentionMs: number; untilStdinEnds?: true; }) => {
        const log = await LogStandIn.start(opts);
        const stop = () => void log.close().then(() => process.exit(0));
        process.once("SIGTERM", stop).once("SIGINT", stop);
        if (opts.untilStdinEnds) {
            process.stdin.once("close", stop).resume();
        }
        console.log(JSON.stringify({ address: log.address }));
    });
await command.parseAsync();
