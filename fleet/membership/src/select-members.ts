import type { Member } from "./member.js";
import type { MembershipState } from "./membership-state.js";
import { MEMBERSHIP_TIMING } from "./membership-timing.js";
import { selectLivePeers } from "./select-live-peers.js";

/**
 * Selects the live daemons that are neither leaving nor stopping, including this one, ordered by VM id. Undefined until
 * a beat of every known peer has arrived or the startup wait has elapsed; otherwise a daemon that has just started
 * would consider itself the only member.
 */
export const selectMembers = (
    state: MembershipState,
    opts: { readonly atMs: number; },
): readonly Member[] | undefined => {
    if (state.members === undefined) {
        if (state.vmList === undefined && state.peers.size === 0) {
            return undefined;
        }
        const settled = opts.atMs - state.startedAtMs >= MEMBERSHIP_TIMING.startupWaitMs
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
