import { emptyOwnershipFold } from "./empty-ownership-fold.js";
import type { OwnershipFold } from "./ownership-fold.js";
import type { ShareTerm } from "./share-term.js";

/** Creates the fold from the terms of a snapshot. The counters of this reader carry over. */
export const foldSnapshot = (terms: readonly ShareTerm[], counters: OwnershipFold): OwnershipFold => {
    const termsByShare = [...emptyOwnershipFold.termsByShare];
    for (const term of terms.toSorted((left, right) => left.term - right.term)) {
        termsByShare[term.share] = [...termsByShare[term.share] ?? [], term];
    }
    return { ...counters, termsByShare };
};
