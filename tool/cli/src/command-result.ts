import type { ExitCode } from "./exit-code.js";

/** Output and exit code of a command. */
export interface CommandResult {
    readonly exitCode: ExitCode;
    /** Printed with `--json`. */
    readonly json: unknown;
    /** Printed without `--json`. Control characters are escaped on output. */
    readonly lines: readonly string[];
}
