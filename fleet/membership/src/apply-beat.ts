import { isLive } from "./is-live.js";
import type { Member } from "./member.js";
import type { MembershipState } from "./membership-state.js";
import type { Peer } from "./peer.js";

interface ApplyBeatOptions {
    readonly atMs: number;
    readonly member: Member;
    readonly beat: number;
    /** Whether the daemon sent the beat itself; false when another daemon relayed it. */
    readonly direct: boolean;
}

/**
 * Returns the peer updated by a beat, or undefined when the beat is stale. Incarnations are UUIDv7, so a later one
 * compares greater. A smaller one is accepted only from the daemon itself once the greater one is no longer live, as
 * happens when the VM's clock was set back before a restart.
 */
export const applyBeat = (state: MembershipState, opts: ApplyBeatOptions): Peer | undefined => {
    const { vmId, incarnation } = opts.member.daemon;
    const peer = state.peers.get(vmId);
    const updated: Peer = {
        vmId,
        address: opts.member.address,
        availabilityZone: opts.member.availabilityZone,
        incarnation,
        beat: opts.beat,
        beatAtMs: opts.atMs,
        listed: peer?.listed ?? false,
        leaving: peer?.leaving ?? false,
        stopping: peer?.stopping ?? false,
        configurationVersion: peer?.configurationVersion ?? 0,
        firstSeenAtMs: peer?.firstSeenAtMs ?? opts.atMs,
    };
    if (peer?.incarnation === undefined) {
        return updated;
    }
    if (peer.incarnation === incarnation) {
        return opts.beat > peer.beat ? updated : undefined;
    }
    if (incarnation > peer.incarnation || (opts.direct && !isLive(peer, opts))) {
        return { ...updated, stopping: false };
    }
    return undefined;
};
