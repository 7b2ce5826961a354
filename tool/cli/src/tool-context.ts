import type { Result } from "neverthrow";
import type { CommandFailure } from "./command-failure.js";
import type { Connections } from "./connections.js";

/** What a command may use. */
export interface ToolContext {
    /** Settings and connections; a command that needs neither works without a settings file. */
    readonly connect: () => Promise<Result<Connections, CommandFailure>>;
    readonly readFile: (path: string) => Promise<string>;
    /** Prints a line that is no result, on standard error. */
    readonly reportProgress: (line: string) => void;
    readonly nowMs: () => number;
    readonly delay: (ms: number) => Promise<void>;
    readonly createUniqueId: () => string;
}
