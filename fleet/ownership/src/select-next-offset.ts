import type { OwnershipState } from "./ownership-state.js";

/** Offset from which the `ownership` stream is to be read next. It goes back when a snapshot is adopted. */
export const selectNextOffset = (state: OwnershipState): number => state.log.nextOffset;
