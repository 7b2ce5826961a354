import { InvalidFileError } from "@marigoldstall/config.schema";
import { readToolSettings } from "@marigoldstall/config.settings";
import { formatError, MarigoldstallError } from "@marigoldstall/core.error";
import { CommanderError } from "commander";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { buildProgram } from "./build-program.js";
import type { CommandDefinition } from "./command-definition.js";
import type { CommandFailure } from "./command-failure.js";
import type { CommandInput } from "./command-input.js";
import { COMMANDS } from "./commands.js";
import type { Connections } from "./connections.js";
import { createUsageFailure } from "./create-usage-failure.js";
import { escapeText } from "./escape-text.js";
import { ExitCode } from "./exit-code.js";
import { formatJson } from "./format-json.js";
import type { ToolEnvironment } from "./tool-environment.js";

const DEFAULT_SETTINGS_FILE = "marigoldstall.yaml";

const formatFailure = ({ error }: CommandFailure): string => {
    // Only messages about invalid files have several lines. Other line breaks come from external input and are escaped.
    const text = formatError(error);
    const lines = error instanceof InvalidFileError ? text.split("\n") : [
        `${error.code} ${error.message}`,
        ...text.split("\n").slice(error.message.split("\n").length),
    ];
    return lines.map(escapeText).join("\n") + "\n";
};

const toErrorJson = ({ error, details, exitCode }: CommandFailure): unknown => ({
    ...details,
    exitCode,
    error: {
        code: error.code,
        message: error.message,
        step: error.step,
        peer: error.peer,
        hint: error.hint,
        problems: error instanceof InvalidFileError ? error.problems : undefined,
    },
});

const openConnections = async (
    environment: ToolEnvironment,
    file: string,
): Promise<Result<Connections, CommandFailure>> => {
    let text: string;
    try {
        text = await environment.readFile(file);
    }
    catch (cause) {
        const error = new MarigoldstallError({
            code: "SETTINGS_UNREADABLE",
            message: `cannot read the settings: ${(cause as Error).message}`,
            step: "read tool settings",
            peer: file,
            hint: "set the path with --settings or $MARIGOLDSTALL_SETTINGS",
            cause,
        });
        return err({ exitCode: ExitCode.UsageOrInvalidFile, error });
    }
    return readToolSettings(text, { file })
        .mapErr(error => ({ exitCode: ExitCode.UsageOrInvalidFile, error }))
        .andThen(settings => ok({ settings, ...environment.createClients(settings) }));
};

/** Runs the tool with the given arguments and returns its exit code. */
export const runTool = async (args: readonly string[], environment: ToolEnvironment): Promise<ExitCode> => {
    let exitCode = ExitCode.Success;
    let connections: Connections | undefined;
    const reportFailure = (failure: CommandFailure, asJson: boolean): void => {
        if (asJson) {
            environment.writeOutput(`${formatJson(toErrorJson(failure))}\n`);
        }
        else {
            environment.writeError(formatFailure(failure));
        }
    };
    const runCommand = async (command: CommandDefinition, input: CommandInput): Promise<void> => {
        const globalOptions = program.opts<{ readonly settings?: string; readonly json?: true; }>();
        const file = globalOptions.settings ?? environment.env["MARIGOLDSTALL_SETTINGS"] ?? DEFAULT_SETTINGS_FILE;
        const result = await command.handler({
            connect: async () => {
                const opened = await openConnections(environment, file);
                connections = opened.isOk() ? opened.value : undefined;
                return opened;
            },
            readFile: environment.readFile,
            reportProgress: line => environment.writeError(`${escapeText(line)}\n`),
            nowMs: environment.nowMs,
            delay: environment.delay,
            createUniqueId: environment.createUniqueId,
        }, input);
        exitCode = result.isOk() ? result.value.exitCode : result.error.exitCode;
        if (result.isErr()) {
            reportFailure(result.error, globalOptions.json === true);
        }
        else if (globalOptions.json === true) {
            environment.writeOutput(`${formatJson(result.value.json)}\n`);
        }
        else {
            environment.writeOutput(result.value.lines.map(line => `${escapeText(line)}\n`).join(""));
        }
    };
    const program = buildProgram({
        commands: COMMANDS,
        runCommand,
        writeOutput: environment.writeOutput,
        writeError: environment.writeError,
    });
    try {
        await program.parseAsync(args, { from: "user" });
    }
    catch (error) {
        if (!(error instanceof CommanderError)) {
            throw error;
        }
        if (error.exitCode !== 0 && error.code !== "commander.help") {
            reportFailure(
                createUsageFailure(error.message.replace(/^error: /, "").replace(/\n/g, " ")),
                args.includes("--json"),
            );
        }
        return error.exitCode === 0 ? ExitCode.Success : ExitCode.UsageOrInvalidFile;
    }
    finally {
        connections?.log.close();
        connections?.vmList.close();
        connections?.daemons.close();
    }
    return exitCode;
};
