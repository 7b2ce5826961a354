import { MarigoldstallError } from "@marigoldstall/core.error";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CommandContext } from "./command-context.js";
import type { CommandFailure } from "./command-failure.js";
import { ExitCode } from "./exit-code.js";

/** Reads the text of a file that the operator named. */
export const readInputFile = async (
    context: CommandContext,
    file: string,
    opts: { readonly step: string; },
): Promise<Result<string, CommandFailure>> => {
    try {
        return ok(await context.readFile(file));
    }
    catch (cause) {
        const error = new MarigoldstallError({
            code: "FILE_UNREADABLE",
            message: `cannot read the file: ${(cause as Error).message}`,
            step: opts.step,
            peer: file,
            hint: "check the path and its permissions",
            cause,
        });
        return err({ exitCode: ExitCode.UsageOrInvalidFile, error });
    }
};
