import { MarigoldstallError } from "@marigoldstall/core.error";
import type { CommandFailure } from "./command-failure.js";
import { ExitCode } from "./exit-code.js";

/** Failure for a call that contradicts itself. */
export const usageFailure = (message: string, hint = "see --help"): CommandFailure => ({
    exitCode: ExitCode.UsageOrInvalidFile,
    error: new MarigoldstallError({ code: "USAGE", message, step: "read the command line", hint }),
});
