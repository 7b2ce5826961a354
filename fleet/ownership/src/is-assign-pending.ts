import type { OwnershipState } from "./ownership-state.js";

/** Whether this daemon has an undecided `assign` record for a share, which may end its current term. */
export const isAssignPending = (state: OwnershipState, share: number): boolean =>
    state.pendingAssigns.some(({ record }) => record.entries.some(entry => entry.share === share));
