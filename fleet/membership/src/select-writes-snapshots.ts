import type { MembershipState } from "./membership-state.js";

/** Whether this daemon writes the snapshots, as the live member with the lowest VM id. */
export const selectWritesSnapshots = (state: MembershipState): boolean =>
    state.members?.[0]?.daemon.vmId === state.self.daemon.vmId;
