/** A validation problem in a parsed value. */
export interface ValueProblem {
    readonly path: readonly PropertyKey[];
    readonly message: string;
}
