import { Command, Option } from "commander";
import type { DaemonFlags } from "./daemon-flags.js";
import { runDaemon } from "./run-daemon.js";

/** The command `marigoldstalld`. */
export const daemonCommand = new Command("marigoldstalld")
    .description("Runs the load balancer on an entry VM.")
    .requiredOption("--settings <file>", "settings of the daemon, in YAML")
    .addOption(
        new Option("--policy <name>", "selection policy, for measurements").choices([
            "random",
            "round-robin",
            "least-outstanding",
            "power-of-two-choices",
            "slot-aware",
        ]),
    )
    .version("0.1.0")
    .exitOverride(error => {
        // commander exits with 1 on usage errors; this command exits with 2.
        process.exit(error.exitCode === 0 ? 0 : 2);
    })
    .action((flags: DaemonFlags) => runDaemon(flags));
