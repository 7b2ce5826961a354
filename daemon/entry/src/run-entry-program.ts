import { formatError, MarigoldstallError } from "@marigoldstall/core.error";
import type { EntrySettings } from "@marigoldstall/core.types";
import { type DecodedEntrySettings, decodeEntrySettings, SETTINGS_VARIABLE } from "@marigoldstall/platform.adapter";
import { Command } from "commander";
import type { Result } from "neverthrow";
import { DEFAULT_SETTINGS } from "./default-settings.js";
import { EntryDaemon } from "./entry-daemon.js";
import { JsonLogger } from "./json-logger.js";
import type { LogOutput } from "./log-output.js";
import { parseHedgeShare } from "./parse-hedge-share.js";
import { readSettings } from "./read-settings.js";
import { SettingsReloader } from "./settings-reloader.js";
import { waitForSettings } from "./wait-for-settings.js";

const EXIT_USAGE = 2;

interface EntryFlags {
    readonly metricsPort?: string;
    readonly hedgeShare?: string;
}

interface RunEntryProgramOptions {
    /** Standard output, for the log. */
    readonly stdout: LogOutput;
    /** Called once the daemon handles signals itself. Returns how often SIGHUP came before. */
    readonly onSignalsHandled: () => { readonly earlyReloads: number; };
}

const fail = (error: MarigoldstallError): never => {
    process.stderr.write(`${formatError(error)}\n`);
    process.exit(EXIT_USAGE);
};

const run = async (flags: EntryFlags, opts: RunEntryProgramOptions): Promise<void> => {
    const hedgeShare = parseHedgeShare(flags.hedgeShare ?? "0");
    if (hedgeShare.isErr()) {
        return fail(hedgeShare.error);
    }
    const file = process.env[SETTINGS_VARIABLE] ?? "";
    if (file === "") {
        return fail(
            new MarigoldstallError({
                code: "SETTINGS_UNNAMED",
                message: `the environment variable ${SETTINGS_VARIABLE} is not set`,
                step: "read the platform's settings",
                hint: "set it to the path of the settings file",
            }),
        );
    }
    const decode = (text: string): Result<DecodedEntrySettings, MarigoldstallError> =>
        decodeEntrySettings(text, { file, defaults: DEFAULT_SETTINGS });
    const startLog = new JsonLogger({ vmId: undefined, output: opts.stdout });
    const { settings, defaultedFields } = await waitForSettings({ file, decode, log: startLog });
    const log = new JsonLogger({ vmId: settings.vmId, output: opts.stdout });
    if (defaultedFields.length > 0) {
        log.write("settings-defaulted", { file, fields: defaultedFields });
    }
    const metricsPort = flags.metricsPort === undefined ? undefined : Number(flags.metricsPort);
    const daemon = new EntryDaemon({ settings, metricsPort, hedgeShare: hedgeShare.value, output: opts.stdout });
    process.on("SIGTERM", () => {
        daemon.countSignal("SIGTERM");
        void daemon.stop().then(() => {
            process.exit(0);
        });
    });
    const readCurrent = async (): Promise<Result<EntrySettings, MarigoldstallError>> =>
        (await readSettings({ file, decode })).map(decoded => decoded.settings);
    const reloader = new SettingsReloader({ settings, read: readCurrent, log });
    process.on("SIGHUP", () => {
        daemon.countSignal("SIGHUP");
        void reloader.reload();
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
                peer: settings.host,
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
        .option(
            "--hedge-share <number>",
            "hedges that are allowed, as a share of the requests, from 0 to 1 (default: 0)",
        )
        .action((flags: EntryFlags) => run(flags, opts))
        .parseAsync();
};
