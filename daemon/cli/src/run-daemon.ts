import { readDaemonSettings } from "@marigoldstall/config.settings";
import { formatError, MarigoldstallError } from "@marigoldstall/core.error";
import { Daemon } from "@marigoldstall/daemon.runtime";
import { readFileSync } from "node:fs";
import type { DaemonFlags } from "./daemon-flags.js";

const EXIT_USAGE = 2;

const reportStartupError = (text: string): void => {
    process.stderr.write(`${text}\n`);
    process.exitCode = EXIT_USAGE;
};

/** Starts the daemon, which runs until SIGTERM or SIGINT. Errors at startup end the process with exit code 2. */
export const runDaemon = async (flags: DaemonFlags): Promise<void> => {
    // The daemon outlives the readers of its output. A write without a reader raises EPIPE.
    for (const stream of [process.stdout, process.stderr]) {
        stream.on("error", () => undefined);
    }
    process.on("SIGHUP", () => {
        process.stderr.write("marigoldstalld: SIGHUP received, settings take effect at the next start\n");
    });
    // No caller is served before the start has ended.
    let stopDaemon = (): Promise<void> => Promise.resolve();
    const stop = (signal: NodeJS.Signals): void => {
        process.stderr.write(`marigoldstalld: ${signal} received\n`);
        void stopDaemon().then(() => {
            process.exit(0);
        });
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    let text: string;
    try {
        text = readFileSync(flags.settings, "utf8");
    }
    catch (cause) {
        reportStartupError(formatError(
            new MarigoldstallError({
                code: "SETTINGS_UNREADABLE",
                message: `the settings file cannot be read: ${String((cause as Error).message)}`,
                step: "read daemon settings",
                peer: flags.settings,
                hint: "give the path of a readable file with --settings",
                cause,
            }),
        ));
        return;
    }
    const settings = readDaemonSettings(text, { file: flags.settings });
    if (settings.isErr()) {
        reportStartupError(formatError(settings.error));
        return;
    }
    const daemon = new Daemon(settings.value, { policy: flags.policy });
    try {
        await daemon.start();
    }
    catch (cause) {
        reportStartupError(formatError(
            new MarigoldstallError({
                code: "PORT_UNAVAILABLE",
                message: `a port cannot be opened: ${String((cause as Error).message)}`,
                step: "open ports",
                hint: "check listen.control and listen.operator, and that no other process holds the ports",
                cause,
            }),
        ));
        // Ports that are already open would keep the process alive.
        process.exit(EXIT_USAGE);
    }
    stopDaemon = () => daemon.stop();
    process.stderr.write(`marigoldstalld: started, control port ${daemon.addresses.control}\n`);
};
