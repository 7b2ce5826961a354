import type { OwnershipState } from "./ownership-state.js";
import type { ShareTerm } from "./share-term.js";

/**
 * Selects the current and recent terms of all shares, ascending by share and term. A term governs the key times from
 * its `fromMs` to that of the share's next term. Returns the same array until a term changes.
 */
export const selectTerms = (state: OwnershipState): readonly ShareTerm[] => state.terms;
