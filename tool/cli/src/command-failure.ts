import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { ExitCode } from "./exit-code.js";

/** Error and exit code of a failed command. */
export interface CommandFailure {
    readonly exitCode: ExitCode;
    readonly error: MarigoldstallError;
    /** Additional keys of the `--json` output. */
    readonly details?: Readonly<Record<string, unknown>> | undefined;
}
