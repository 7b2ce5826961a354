import type { Result } from "neverthrow";
import type { CommandFailure } from "./command-failure.js";
import type { Connections } from "./connections.js";

/** Dependencies of a command handler. */
export interface CommandContext {
    /** Reads the settings and creates the clients. Commands that do not call it need no settings file. */
    readonly connect: () => Promise<Result<Connections, CommandFailure>>;
    readonly readFile: (path: string) => Promise<string>;
    /** Prints a line to standard error, separate from the result on standard output. */
    readonly reportProgress: (line: string) => void;
    readonly nowMs: () => number;
    readonly delay: (ms: number) => Promise<void>;
    readonly createUniqueId: () => string;
}
