import { daemonKey } from "./daemon-key.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipState } from "./ownership-state.js";

/** Returns the members that are not suspected, that is, have not recently failed as owner or guardian. */
export const eligibleMembers = (state: OwnershipState, atMs: number): readonly OwnershipMember[] =>
    state.suspectedUntilMs.size === 0
        ? state.members
        : state.members.filter(member => (state.suspectedUntilMs.get(daemonKey(member.daemon)) ?? -Infinity) <= atMs);
