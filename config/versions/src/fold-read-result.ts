import type { FoldOutcome } from "./fold-outcome.js";
import type { Fold } from "./fold.js";

/** Result of folding one read of the stream. */
export interface FoldReadResult {
    readonly fold: Fold;
    readonly outcomes: readonly FoldOutcome[];
    /** Whether the fold has reached the end of the stream as of this read. */
    readonly isCaughtUp: boolean;
    /** Whether retention removed records before they were read. */
    readonly hasGap: boolean;
}
