/** A fault in a parsed value: where it is and what was expected. */
export interface ValueProblem {
    readonly path: readonly PropertyKey[];
    readonly message: string;
}
