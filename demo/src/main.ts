import { findSiteLayout } from "@marigoldstall-private/sites";
import { Argument, Command } from "commander";
import { runDemo } from "./run-demo.js";

const command = new Command("demo")
    .description(
        "Runs a site while faults are injected and checks the guarantees. Exits with 0 if every checked guarantee held.",
    )
    .addArgument(new Argument("[site]", "site to run").choices(["luznik", "zilina"]).default("luznik"))
    .option("--stay", "keep the site running after the demonstration, until interrupted")
    .option("--keep", "keep the settings files and logs of the processes")
    .option("--seed <number>", "seed for arrival times and service times", Number, 1)
    .option("--seconds <number>", "duration for which calls are sent", Number, 20)
    .action(async (site: string, opts: { stay?: true; keep?: true; seed: number; seconds: number; }) => {
        const interrupted = new AbortController();
        const interrupt = () => interrupted.abort(new Error("interrupted"));
        process.once("SIGINT", interrupt).once("SIGTERM", interrupt);
        const allHeld = await runDemo({
            layout: findSiteLayout(site),
            seed: opts.seed,
            durationMs: opts.seconds * 1000,
            stay: opts.stay === true,
            keep: opts.keep === true,
            print: line => console.log(line),
            signal: interrupted.signal,
        });
        process.exitCode = allHeld ? 0 : 1;
    });
await command.parseAsync().catch((error: unknown) => {
    console.error(error instanceof Error ? error.message : error);
    process.exitCode = 1;
});
