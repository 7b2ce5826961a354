import { daemonKey } from "./daemon-key.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipState } from "./ownership-state.js";

/** Replaces the live members, and keeps the addresses of guardians that are no longer members. */
export const changeMembers = (
    state: OwnershipState,
    opts: { readonly members: readonly OwnershipMember[]; readonly atMs: number; },
): OwnershipState => {
    const selfId = state.self.daemon.vmId;
    const others = opts.members.filter(member => member.daemon.vmId !== selfId);
    const members = [...others, ...state.isStopping ? [] : [state.self]]
        .toSorted((left, right) => left.daemon.vmId < right.daemon.vmId ? -1 : 1);
    const guardianKeys = new Set(
        state.terms.flatMap(term => term.guardian === undefined ? [] : [daemonKey(term.guardian)]),
    );
    const addresses = new Map([...state.addresses].filter(([key]) => guardianKeys.has(key)));
    for (const member of others) {
        addresses.set(daemonKey(member.daemon), member);
    }
    return { ...state, members, membersKnown: true, membersChangedAtMs: opts.atMs, addresses };
};
