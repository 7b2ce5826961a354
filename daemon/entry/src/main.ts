import { formatError, MarigoldstallError } from "@marigoldstall/core.error";
import { decodeEntrySettings, SETTINGS_VARIABLE } from "@marigoldstall/platform.adapter";
import { Command } from "commander";
import { readFileSync } from "node:fs";
import { EntryDaemon } from "./entry-daemon.js";

const EXIT_USAGE = 2;

interface EntryFlags {
    readonly metricsPort?: string;
}

const run = async (flags: EntryFlags): Promise<void> => {
    const file = process.env[SETTINGS_VARIABLE] ?? "";
    const settings = decodeEntrySettings(readFileSync(file, "utf8"), { file });
    if (settings.isErr()) {
        process.stderr.write(`${formatError(settings.error)}\n`);
        process.exit(EXIT_USAGE);
    }
    const metricsPort = flags.metricsPort === undefined ? undefined : Number(flags.metricsPort);
    const daemon = new EntryDaemon({ settings: settings.value, metricsPort });
    process.on("SIGTERM", () => {
        void daemon.stop().then(() => {
            process.exit(0);
        });
    });
    process.on("SIGHUP", () => {
        daemon.reload();
    });
    // A fault in the handling of one connection or message must not end the requests of all others.
    process.on("uncaughtException", error => {
        daemon.reportFault("uncaught-exception", error);
    });
    process.on("unhandledRejection", reason => {
        daemon.reportFault("unhandled-rejection", reason);
    });
    try {
        await daemon.start();
    }
    catch (cause) {
        const error = new MarigoldstallError({
            code: "LISTEN_FAILED",
            message: cause instanceof Error ? cause.message : String(cause),
            step: "open the ports",
            peer: settings.value.host,
            hint: "check that the addresses in the settings belong to this VM and that no other process uses them",
            cause,
        });
        process.stderr.write(`${formatError(error)}\n`);
        process.exit(EXIT_USAGE);
    }
};

void new Command("marigoldstall-entry")
    .description("Runs the load balancer on an entry VM of the users' platform.")
    .option("--metrics-port <port>", "port of the VM's address that serves /metrics")
    .action(run)
    .parseAsync();
