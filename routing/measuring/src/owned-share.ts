/**
 * A share that this daemon owns, with the interval of key time that its term gives it: from the effective start of
 * the term to the bound. The slice itself adds the delay at the start.
 */
export interface OwnedShare {
    readonly share: number;
    readonly usableFromMs: number;
    readonly usableUntilMs: number;
}
