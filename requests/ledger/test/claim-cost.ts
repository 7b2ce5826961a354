/** What claims cost, in counts that are the same on each run. */
export interface ClaimCost {
    /** Fields, elements and entries of the objects that the state holds only since the claims. */
    readonly newSlots: number;
    /** Reads of the fields of objects that the state held before the claim. */
    readonly fieldReads: number;
}
