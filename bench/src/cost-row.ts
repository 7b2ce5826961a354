/** Row of the control cost table. */
export interface CostRow {
    readonly part: string;
    /** Size or load at which the value was measured. */
    readonly at: string;
    readonly quantity: string;
    readonly value: string;
}
