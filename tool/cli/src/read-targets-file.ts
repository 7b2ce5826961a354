import { readTargets } from "@marigoldstall/config.targets";
import { MarigoldstallError } from "@marigoldstall/core.error";
import type { Targets } from "@marigoldstall/core.types";
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import type { CommandContext } from "./command-context.js";
import type { CommandFailure } from "./command-failure.js";
import { ExitCode } from "./exit-code.js";

/** Reads and validates a targets file. */
export const readTargetsFile = async (
    context: CommandContext,
    file: string,
): Promise<Result<Targets, CommandFailure>> => {
    let text: string;
    try {
        text = await context.readFile(file);
    }
    catch (cause) {
        const error = new MarigoldstallError({
            code: "FILE_UNREADABLE",
            message: `cannot read the file: ${(cause as Error).message}`,
            step: "read targets",
            peer: file,
            hint: "check the path and its permissions",
            cause,
        });
        return err({ exitCode: ExitCode.UsageOrInvalidFile, error });
    }
    return readTargets(text, { file }).mapErr(error => ({ exitCode: ExitCode.UsageOrInvalidFile, error }));
};
