import { Command, InvalidArgumentError, Option } from "commander";
import type { CommandDefinition } from "./command-definition.js";
import type { CommandInput } from "./command-input.js";
import type { CommandOption } from "./command-option.js";

interface ProgramOptions {
    readonly commands: readonly CommandDefinition[];
    readonly runCommand: (command: CommandDefinition, input: CommandInput) => Promise<void>;
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
}

const EXIT_CODES_HELP = `
Exit codes:
  0  success
  1  check: the configuration has errors or warnings
  2  usage error or invalid file
  3  conflict with a version published by another operator
  4  outcome unknown
  5  platform or daemons unreachable
  6  not in force everywhere before the timeout, or status is degraded`;

const parseInteger = (minimum: number) => (text: string): number => {
    if (!/^\d{1,15}$/.test(text) || Number(text) < minimum) {
        throw new InvalidArgumentError(`Expected an integer of at least ${minimum}.`);
    }
    return Number(text);
};

const createOption = (definition: CommandOption): Option => {
    const option = new Option(definition.flags, definition.help);
    return definition.minimum === undefined ? option : option.argParser(parseInteger(definition.minimum));
};

const getOrCreateGroup = (program: Command, words: readonly string[]): Command =>
    words.reduce((parent, word) => {
        const known = parent.commands.find(command => command.name() === word);
        return known ?? parent.command(word).description(`Commands for ${word}.`);
    }, program);

/** Builds the command-line parser and its help from the command definitions. */
export const buildProgram = (opts: ProgramOptions): Command => {
    const program = new Command("marigoldstall")
        .description("Publishes targets and shows whether the marigoldstall daemons meet them.")
        .option(
            "--settings <FILE>",
            "settings file in YAML (default: $MARIGOLDSTALL_SETTINGS, then marigoldstall.yaml)",
        )
        .option("--json", "print one JSON document to standard output")
        .addHelpText("after", EXIT_CODES_HELP)
        .exitOverride()
        // The caller prints usage errors in the same format as all other errors.
        .configureOutput({ writeOut: opts.writeOutput, writeErr: opts.writeError, outputError: () => undefined });
    for (const definition of opts.commands) {
        const words = definition.name.split(" ");
        const command = getOrCreateGroup(program, words.slice(0, -1))
            .command(words.at(-1) ?? "")
            .description(definition.help);
        definition.arguments.forEach(argument => command.argument(`<${argument.name}>`, argument.help));
        definition.options.forEach(option => command.addOption(createOption(option)));
        command.action(async () => {
            await opts.runCommand(definition, { arguments: command.args, options: command.opts() });
        });
    }
    return program;
};
