/** Cost of claims in counts that, unlike durations, are the same on each run. */
export interface ClaimCost {
    /** Fields, elements and map entries of the objects that the claims added to the state. */
    readonly newFields: number;
    /** Reads of fields of objects that were in the state before each claim. */
    readonly fieldReads: number;
}
