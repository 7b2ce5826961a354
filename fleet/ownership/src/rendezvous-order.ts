import type { OwnershipMember } from "./ownership-member.js";

/** FNV-1a with a final mix. Without the mix, names that differ in their last digit have similar scores. */
const score = (text: string): number => {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
};

/** Orders already computed for a list of members. Each tick asks for the same ones. */
const orders = new WeakMap<readonly OwnershipMember[], Map<number, readonly OwnershipMember[]>>();

/**
 * Orders members by rendezvous hashing for one share; the first is the winner. The incarnation is left out, so
 * that a restarted VM wins the same shares again.
 */
export const rendezvousOrder = (share: number, members: readonly OwnershipMember[]): readonly OwnershipMember[] => {
    const known = orders.get(members)?.get(share);
    if (known !== undefined) {
        return known;
    }
    const order = members
        .map(member => ({ member, score: score(`${share}/${member.daemon.vmId}`) }))
        .toSorted((left, right) =>
            right.score - left.score || (left.member.daemon.vmId < right.member.daemon.vmId ? -1 : 1)
        )
        .map(entry => entry.member);
    const byShare = orders.get(members) ?? new Map<number, readonly OwnershipMember[]>();
    orders.set(members, byShare.set(share, order));
    return order;
};
