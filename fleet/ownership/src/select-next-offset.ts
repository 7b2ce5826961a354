import type { OwnershipState } from "./ownership-state.js";

/** Selects the offset of the next read of the `ownership` stream. It decreases when a snapshot is adopted. */
export const selectNextOffset = (state: OwnershipState): number => state.log.nextOffset;
