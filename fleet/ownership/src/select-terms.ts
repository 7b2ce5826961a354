import type { OwnershipState } from "./ownership-state.js";
import type { ShareTerm } from "./share-term.js";

/**
 * Current and recent terms of all shares, ascending by share and term. A term governs the key times from its
 * `fromMs` to that of the share's next term. The same array is returned until a term changes.
 */
export const selectTerms = (state: OwnershipState): readonly ShareTerm[] => state.terms;
