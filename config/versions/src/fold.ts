import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** Result of folding the `configuration` stream up to an offset. */
export interface Fold {
    /** Newest version known to be valid. It is never replaced by a lower one. */
    readonly accepted: AcceptedConfiguration | undefined;
    /** Offset to read next. It moves back when the fold continues from a snapshot or from a version of a peer. */
    readonly nextOffset: number;
    /** Whether `accepted` is the newest valid version at `nextOffset`. False after retention removed unread records. */
    readonly isComplete: boolean;
}
