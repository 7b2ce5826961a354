import { Command } from "commander";
import { LogStandIn } from "./log-stand-in.js";

const command = new Command("log-stand-in")
    .description("Runs the stand-in of the log service on 127.0.0.1 and prints its address as a line of JSON.")
    .option("--port <number>", "port; 0 picks a free one", Number, 0)
    .option("--appends-per-second <number>", "appends a second, 429 above", Number, 400)
    .option("--retention-ms <number>", "age at which records are removed", Number, 3_600_000)
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
