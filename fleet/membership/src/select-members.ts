import type { Member } from "./member.js";
import type { MembershipState } from "./membership-state.js";
import { MEMBERSHIP_TIMING } from "./membership-timing.js";
import { selectLivePeers } from "./select-live-peers.js";

/**
 * Live daemons that stay, this one included, by VM id. Undefined until each listed peer was heard or the settling
 * time passed: a daemon that just started would otherwise take itself for the only one.
 */
export const selectMembers = (
    state: MembershipState,
    opts: { readonly atMs: number; },
): readonly Member[] | undefined => {
    if (state.members === undefined) {
        if (state.vmList === undefined && state.peers.size === 0) {
            return undefined;
        }
        const settled = opts.atMs - state.startedAtMs >= MEMBERSHIP_TIMING.settleMs
            || [...state.peers.values()].every(peer => peer.beatAtMs !== undefined);
        if (!settled) {
            return undefined;
        }
    }
    const members: Member[] = state.stopping ? [] : [state.self];
    for (const peer of selectLivePeers(state, opts)) {
        if (!peer.leaving && !peer.stopping && peer.incarnation !== undefined) {
            members.push({
                daemon: { vmId: peer.vmId, incarnation: peer.incarnation },
                address: peer.address,
                availabilityZone: peer.availabilityZone,
            });
        }
    }
    return members.sort((left, right) => left.daemon.vmId < right.daemon.vmId ? -1 : 1);
};
