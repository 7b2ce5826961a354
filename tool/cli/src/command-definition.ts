import type { Result } from "neverthrow";
import type { CommandContext } from "./command-context.js";
import type { CommandFailure } from "./command-failure.js";
import type { CommandInput } from "./command-input.js";
import type { CommandOption } from "./command-option.js";
import type { CommandResult } from "./command-result.js";

/** Declarative definition of a command, from which its parser and its help are generated. */
export interface CommandDefinition {
    /** Group and name, such as `targets publish`. */
    readonly name: string;
    readonly help: string;
    readonly arguments: readonly { readonly name: string; readonly help: string; }[];
    readonly options: readonly CommandOption[];
    readonly handler: (context: CommandContext, input: CommandInput) => Promise<Result<CommandResult, CommandFailure>>;
}
