import { MarigoldstallError } from "@marigoldstall/core.error";
import type { FileProblem } from "./file-problem.js";
import type { InvalidFileErrorOptions } from "./invalid-file-error-options.js";

const formatProblem = (problem: FileProblem): string =>
    `${problem.file}:${problem.line}: ${problem.key === "" ? "" : `${problem.key}: `}${problem.message}`;

/** Reports a file that failed validation, with all its problems. */
export class InvalidFileError extends MarigoldstallError {
    readonly problems: readonly FileProblem[];

    constructor(opts: InvalidFileErrorOptions) {
        const count = opts.problems.length === 1 ? "1 problem" : `${opts.problems.length} problems`;
        super({
            code: opts.code,
            message: [`${opts.file} has ${count}`, ...opts.problems.map(formatProblem)].join("\n"),
            step: opts.step,
            peer: opts.file,
            hint: opts.hint,
        });
        this.problems = opts.problems;
    }
}
