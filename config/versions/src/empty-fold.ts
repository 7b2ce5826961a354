import type { Fold } from "./fold.js";

/** The fold before the first record: no version is valid at offset 0. */
export const EMPTY_FOLD: Fold = { accepted: undefined, nextOffset: 0, isComplete: true };
