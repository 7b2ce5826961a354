/**
 * A share that this daemon owns, with the wall clock interval from the effective start of its term to its bound. The
 * reducer adds the delay after the start.
 */
export interface OwnedShare {
    readonly share: number;
    readonly usableFromMs: number;
    readonly usableUntilMs: number;
}
