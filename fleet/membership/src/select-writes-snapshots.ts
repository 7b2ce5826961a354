import type { MembershipState } from "./membership-state.js";

/** Whether this daemon has the lowest VM id among the live members, and so writes the snapshots. */
export const selectWritesSnapshots = (state: MembershipState): boolean =>
    state.members?.[0]?.daemon.vmId === state.self.daemon.vmId;
