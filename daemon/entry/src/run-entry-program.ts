import { formatError, MarigoldstallError } from "@marigoldstall/core.error";
import type { EntrySettings } from "@marigoldstall/core.types";
import { decodeEntrySettings, SETTINGS_VARIABLE } from "@marigoldstall/platform.adapter";
import { Command } from "commander";
import { EntryDaemon } from "./entry-daemon.js";
import { readSettings } from "./read-settings.js";

const EXIT_USAGE = 2;

interface EntryFlags {
    readonly metricsPort?: string;
}

interface RunEntryProgramOptions {
    /** Called once the daemon handles signals itself. Returns how often SIGHUP came before. */
    readonly onSignalsHandled: () => { readonly earlyReloads: number; };
}

const fail = (error: MarigoldstallError): never => {
    process.stderr.write(`${formatError(error)}\n`);
    process.exit(EXIT_USAGE);
};

const run = async (flags: EntryFlags, opts: RunEntryProgramOptions): Promise<void> => {
    const readCurrentSettings = (): ReturnType<typeof readSettings<EntrySettings>> =>
        readSettings({ file: process.env[SETTINGS_VARIABLE] ?? "", decode: decodeEntrySettings });
    const settings = await readCurrentSettings();
    if (settings.isErr()) {
        return fail(settings.error);
    }
    const metricsPort = flags.metricsPort === undefined ? undefined : Number(flags.metricsPort);
    const daemon = new EntryDaemon({ settings: settings.value, metricsPort });
    process.on("SIGTERM", () => {
        daemon.countSignal("SIGTERM");
        void daemon.stop().then(() => {
            process.exit(0);
        });
    });
    process.on("SIGHUP", () => {
        void daemon.reload(readCurrentSettings);
    });
    const { earlyReloads } = opts.onSignalsHandled();
    daemon.countSignal("SIGHUP", earlyReloads);
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
        fail(
            new MarigoldstallError({
                code: "LISTEN_FAILED",
                message: cause instanceof Error ? cause.message : String(cause),
                step: "open the ports",
                peer: settings.value.host,
                hint: "check that the addresses in the settings belong to this VM and that no other process uses them",
                cause,
            }),
        );
    }
};

/** Runs the program of an entry VM with the arguments of this process. */
export const runEntryProgram = async (opts: RunEntryProgramOptions): Promise<void> => {
    await new Command("marigoldstall-entry")
        .description("Runs the load balancer on an entry VM of the users' platform.")
        .option("--metrics-port <port>", "port of the VM's address that serves /metrics")
        .action((flags: EntryFlags) => run(flags, opts))
        .parseAsync();
};
