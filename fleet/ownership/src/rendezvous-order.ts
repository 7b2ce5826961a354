import type { OwnershipMember } from "./ownership-member.js";

/** FNV-1a with a finalizer. Without it, names that differ only in their last digit have similar scores. */
const score = (text: string): number => {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
};

/** Caches orders by list of members, as every tick requests the same ones. */
const orderCache = new WeakMap<readonly OwnershipMember[], Map<number, readonly OwnershipMember[]>>();

/**
 * Orders members for one share by rendezvous hashing; the first is the preferred owner. The incarnation is not hashed,
 * so that a restarted daemon gets the same shares again.
 */
export const rendezvousOrder = (share: number, members: readonly OwnershipMember[]): readonly OwnershipMember[] => {
    const cached = orderCache.get(members)?.get(share);
    if (cached !== undefined) {
        return cached;
    }
    const order = members
        .map(member => ({ member, score: score(`${share}/${member.daemon.vmId}`) }))
        .toSorted((left, right) =>
            right.score - left.score || (left.member.daemon.vmId < right.member.daemon.vmId ? -1 : 1)
        )
        .map(entry => entry.member);
    const byShare = orderCache.get(members) ?? new Map<number, readonly OwnershipMember[]>();
    orderCache.set(members, byShare.set(share, order));
    return order;
};
