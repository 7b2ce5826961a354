import type { ExitCode } from "./exit-code.js";

/** What a command prints and how it ends. */
export interface CommandResult {
    readonly exitCode: ExitCode;
    /** Printed with `--json`. */
    readonly json: unknown;
    /** Printed without `--json`, one entry a line; control characters are escaped when printed. */
    readonly lines: readonly string[];
}
