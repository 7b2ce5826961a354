import type { FoldVerdict } from "./fold-verdict.js";
import type { Fold } from "./fold.js";

/** Result of folding one record. */
export interface FoldStep {
    readonly fold: Fold;
    readonly verdict: FoldVerdict;
}
