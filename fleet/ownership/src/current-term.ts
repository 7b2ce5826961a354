import type { OwnershipState } from "./ownership-state.js";
import type { ShareTerm } from "./share-term.js";

/** Returns the current term of a share, as far as this daemon has read the log. */
export const currentTerm = (state: OwnershipState, share: number): ShareTerm | undefined =>
    state.fold.termsByShare[share]?.at(-1);
