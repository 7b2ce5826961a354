import { readTargets } from "@marigoldstall/config.targets";
import type { Targets } from "@marigoldstall/core.types";
import type { Result } from "neverthrow";
import type { CommandContext } from "./command-context.js";
import type { CommandFailure } from "./command-failure.js";
import { ExitCode } from "./exit-code.js";
import { readInputFile } from "./read-input-file.js";

/** Reads and validates a targets file. */
export const readTargetsFile = async (
    context: CommandContext,
    file: string,
): Promise<Result<Targets, CommandFailure>> => {
    const text = await readInputFile(context, file, { step: "read targets" });
    return text.andThen(value =>
        readTargets(value, { file }).mapErr(error => ({ exitCode: ExitCode.UsageOrInvalidFile, error }))
    );
};
