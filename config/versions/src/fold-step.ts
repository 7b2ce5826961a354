import type { FoldOutcome } from "./fold-outcome.js";
import type { Fold } from "./fold.js";

/** Result of folding one record. */
export interface FoldStep {
    readonly fold: Fold;
    readonly outcome: FoldOutcome;
}
