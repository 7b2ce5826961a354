import { eligibleMembers } from "./eligible-members.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipState } from "./ownership-state.js";
import { rendezvousOrder } from "./rendezvous-order.js";

/** Chooses the guardian of a share: a daemon other than the owner, in another availability zone if possible. */
export const chooseGuardian = (
    state: OwnershipState,
    opts: { readonly share: number; readonly owner: OwnershipMember; readonly atMs: number; },
): OwnershipMember | undefined => {
    const ordered = rendezvousOrder(opts.share, eligibleMembers(state, opts.atMs))
        .filter(member => member.daemon.vmId !== opts.owner.daemon.vmId);
    return ordered.find(member => member.availabilityZone !== opts.owner.availabilityZone) ?? ordered[0];
};
