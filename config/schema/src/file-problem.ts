/** A validation problem in a settings or targets file. */
export interface FileProblem {
    readonly file: string;
    readonly line: number;
    /** Path of the key, such as `classes[0].urgency`; empty for the whole file. */
    readonly key: string;
    /** The expectation, followed by the value found unless that is secret. */
    readonly message: string;
}
