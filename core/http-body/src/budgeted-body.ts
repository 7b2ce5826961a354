/** A body as its budget sees it. */
export interface BudgetedBody {
    readonly capacityBytes: number;
    /** Drops the body and returns its memory to the budget. */
    drop(): void;
}
