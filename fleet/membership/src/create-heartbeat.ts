import type { Heartbeat } from "./heartbeat.js";
import { isLive } from "./is-live.js";
import type { MembershipState } from "./membership-state.js";

// These limits keep the size of a heartbeat independent of the size of the fleet; a full one takes about 3 KB.
const MAX_SENT_BEATS = 16;
const MAX_SENT_EVIDENCE = 8;
const MAX_SENT_PRESSURE = 16;

/** Creates this daemon's heartbeat. When not all live peers fit, successive heartbeats rotate through them. */
export const createHeartbeat = (state: MembershipState, opts: { readonly atMs: number; }): Heartbeat => {
    const livePeers = [...state.peers.values()].filter(peer => isLive(peer, opts));
    const start = livePeers.length === 0 ? 0 : (state.beat * (MAX_SENT_BEATS - 1)) % livePeers.length;
    const included = [...livePeers.slice(start), ...livePeers.slice(0, start)].slice(0, MAX_SENT_BEATS - 1);
    return {
        sender: state.self,
        stopping: state.stopping,
        configurationVersion: state.configurationVersion,
        pressure: state.pressure.filter(pressure => pressure.level > 0)
            .sort((left, right) => right.level - left.level).slice(0, MAX_SENT_PRESSURE),
        evidence: state.evidence.slice(-MAX_SENT_EVIDENCE).map(entry => entry.evidence),
        beats: [
            { member: state.self, beat: state.beat },
            ...included.map(peer => ({
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
