import type { OwnershipState } from "./ownership-state.js";
import type { ShareTerm } from "./share-term.js";

/** Current and recent terms of all shares, ascending by share and term. The same array until a term changes. */
export const selectTerms = (state: OwnershipState): readonly ShareTerm[] => state.terms;
