import type { Fold } from "./fold.js";

/** The fold before the first record, without a valid version. */
export const EMPTY_FOLD: Fold = { accepted: undefined, nextOffset: 0, isComplete: true };
