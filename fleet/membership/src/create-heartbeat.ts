import type { Heartbeat } from "./heartbeat.js";
import { isLive } from "./is-live.js";
import type { MembershipState } from "./membership-state.js";

// These bounds keep the size of a heartbeat independent of the size of the fleet; a full one has about 3 KB.
const MAX_BEATS = 16;
const MAX_EVIDENCE = 8;
const MAX_PRESSURE = 16;

/** The heartbeat of this daemon. It names the live peers in turns when there are more than fit. */
export const createHeartbeat = (state: MembershipState, opts: { readonly atMs: number; }): Heartbeat => {
    const live = [...state.peers.values()].filter(peer => isLive(peer, opts));
    const start = live.length === 0 ? 0 : (state.beat * (MAX_BEATS - 1)) % live.length;
    const named = [...live.slice(start), ...live.slice(0, start)].slice(0, MAX_BEATS - 1);
    return {
        sender: state.self,
        stopping: state.stopping,
        configurationVersion: state.configurationVersion,
        pressure: state.pressure.filter(pressure => pressure.level > 0)
            .sort((left, right) => right.level - left.level).slice(0, MAX_PRESSURE),
        evidence: state.evidence.slice(-MAX_EVIDENCE).map(entry => entry.evidence),
        beats: [
            { member: state.self, beat: state.beat },
            ...named.map(peer => ({
                member: {
                    daemon: { vmId: peer.vmId, incarnation: peer.incarnation ?? "" },
                    address: peer.address,
                    availabilityZone: peer.availabilityZone,
                },
                beat: peer.beat,
            })),
        ],
    };
};
