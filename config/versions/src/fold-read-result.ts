import type { FoldVerdict } from "./fold-verdict.js";
import type { Fold } from "./fold.js";

/** Result of folding one read of the stream. */
export interface FoldReadResult {
    readonly fold: Fold;
    readonly verdicts: readonly FoldVerdict[];
    /** Whether the fold has reached the end that the read stated. */
    readonly isCaughtUp: boolean;
    /** Whether retention removed records before they were read. */
    readonly hasGap: boolean;
}
