import type { OwnershipState } from "./ownership-state.js";

/** Rank of this daemon among the live members by VM id. Higher ranks perform the same tasks after a delay. */
export const memberRank = (state: OwnershipState): number =>
    state.members.filter(member => member.daemon.vmId < state.self.daemon.vmId).length;
