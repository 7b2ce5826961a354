import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { ExitCode } from "./exit-code.js";

/** A command that could not do its work. */
export interface CommandFailure {
    readonly exitCode: ExitCode;
    readonly error: MarigoldstallError;
    /** Further facts for `--json`. */
    readonly details?: Readonly<Record<string, unknown>> | undefined;
}
