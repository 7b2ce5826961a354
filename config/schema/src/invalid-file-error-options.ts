import type { FileProblem } from "./file-problem.js";

/** Options of {@link InvalidFileError}. */
export interface InvalidFileErrorOptions {
    /** Error code without the `ERR_MARIGOLDSTALL_` prefix. */
    readonly code: string;
    readonly file: string;
    readonly step: string;
    readonly hint?: string | undefined;
    readonly problems: readonly FileProblem[];
}
