import type { Result } from "neverthrow";
import type { CommandFailure } from "./command-failure.js";
import type { CommandInput } from "./command-input.js";
import type { CommandOption } from "./command-option.js";
import type { CommandResult } from "./command-result.js";
import type { ToolContext } from "./tool-context.js";

/** A command as data: the parser and its help are both made from this. */
export interface CommandDefinition {
    /** Words of the command, such as `targets publish`. */
    readonly name: string;
    readonly help: string;
    readonly arguments: readonly { readonly name: string; readonly help: string; }[];
    readonly options: readonly CommandOption[];
    readonly handler: (context: ToolContext, input: CommandInput) => Promise<Result<CommandResult, CommandFailure>>;
}
