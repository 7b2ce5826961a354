/** One fault found in a settings or targets file. */
export interface FileProblem {
    readonly file: string;
    readonly line: number;
    /** Path of the key, such as `classes[0].urgency`; empty for the whole file. */
    readonly key: string;
    /** What was expected there, and what was found where it may be shown. */
    readonly message: string;
}
