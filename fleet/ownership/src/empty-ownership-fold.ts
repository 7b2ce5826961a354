import type { OwnershipFold } from "./ownership-fold.js";
import { SHARE_COUNT } from "./share-count.js";

/** Fold of a stream without records. */
export const emptyOwnershipFold: OwnershipFold = {
    termsByShare: Array.from({ length: SHARE_COUNT }, () => []),
    malformedRecords: 0,
    invalidEntries: 0,
};
