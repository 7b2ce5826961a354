import type { OwnershipState } from "./ownership-state.js";

/** Whether a record of this daemon that may end the current term of a share is not decided yet. */
export const isAssignPending = (state: OwnershipState, share: number): boolean =>
    state.pendingAssigns.some(({ record }) => record.entries.some(entry => entry.share === share));
