/** One figure of the control cost. */
export interface CostRow {
    readonly part: string;
    /** What the figure was taken at. */
    readonly at: string;
    readonly quantity: string;
    readonly value: string;
}
