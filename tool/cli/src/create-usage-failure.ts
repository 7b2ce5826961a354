import { MarigoldstallError } from "@marigoldstall/core.error";
import type { CommandFailure } from "./command-failure.js";
import { ExitCode } from "./exit-code.js";

/** Creates the failure for invalid command-line usage. */
export const createUsageFailure = (message: string, hint = "see --help"): CommandFailure => ({
    exitCode: ExitCode.UsageOrInvalidFile,
    error: new MarigoldstallError({ code: "USAGE", message, step: "parse the command line", hint }),
});
