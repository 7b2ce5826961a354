import { hashText } from "@marigoldstall/core.hash";
import type { OwnershipMember } from "./ownership-member.js";

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
        .map(member => ({ member, score: hashText(`${share}/${member.daemon.vmId}`) }))
        .toSorted((left, right) =>
            right.score - left.score || (left.member.daemon.vmId < right.member.daemon.vmId ? -1 : 1)
        )
        .map(entry => entry.member);
    const byShare = orderCache.get(members) ?? new Map<number, readonly OwnershipMember[]>();
    orderCache.set(members, byShare.set(share, order));
    return order;
};
