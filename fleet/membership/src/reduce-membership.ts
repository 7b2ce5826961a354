import type { Transition } from "@marigoldstall/core.types";
import { addEvidence } from "./add-evidence.js";
import { applyBeat } from "./apply-beat.js";
import { createHeartbeat } from "./create-heartbeat.js";
import type { Heartbeat } from "./heartbeat.js";
import { isLive } from "./is-live.js";
import type { MembershipEffect } from "./membership-effect.js";
import type { MembershipEvent } from "./membership-event.js";
import type { MembershipState } from "./membership-state.js";
import { MEMBERSHIP_TIMING } from "./membership-timing.js";
import type { Peer } from "./peer.js";
import { pickPeers } from "./pick-peers.js";
import { readVmList } from "./read-vm-list.js";
import { selectLivePeers } from "./select-live-peers.js";
import { selectMembers } from "./select-members.js";

const PEERS_PER_TICK = 3;
// At its start a daemon greets this many listed peers at once, so that it settles within one round trip.
const PEERS_AT_START = 16;

type MembershipTransition = Transition<MembershipState, MembershipEffect>;

const greet = (state: MembershipState, peers: readonly Peer[], atMs: number): readonly MembershipEffect[] => {
    const heartbeat = createHeartbeat(state, { atMs });
    return peers.map(peer => ({ type: "send-heartbeat", peerAddress: peer.address, heartbeat }));
};

const hearHeartbeat = (state: MembershipState, heartbeat: Heartbeat, atMs: number): MembershipTransition => {
    const effects: MembershipEffect[] = [];
    const peers = new Map(state.peers);
    const senderId = heartbeat.sender.daemon;
    for (const { member, beat } of heartbeat.beats) {
        if (member.daemon.vmId === state.self.daemon.vmId) {
            continue;
        }
        const direct = member.daemon.vmId === senderId.vmId;
        const former = peers.get(member.daemon.vmId);
        const peer = applyBeat({ ...state, peers }, { atMs, member, beat, direct });
        if (peer === undefined) {
            continue;
        }
        peers.set(peer.vmId, peer);
        if (former?.incarnation !== undefined && former.incarnation !== peer.incarnation) {
            effects.push({
                type: "log-decision",
                decision: {
                    kind: "peer-restarted",
                    requestId: undefined,
                    service: undefined,
                    className: undefined,
                    candidates: [former.incarnation],
                    choice: peer.incarnation,
                    reason: `${peer.vmId} has a new incarnation`,
                },
            });
        }
    }
    const sender = peers.get(senderId.vmId);
    if (sender !== undefined && sender.incarnation === senderId.incarnation) {
        peers.set(sender.vmId, {
            ...sender,
            stopping: sender.stopping || heartbeat.stopping,
            configurationVersion: heartbeat.configurationVersion,
        });
        effects.push({
            type: "peer-version-heard",
            peerAddress: sender.address,
            version: heartbeat.configurationVersion,
        });
        if (heartbeat.pressure.length > 0) {
            effects.push({ type: "pressure-heard", pressure: heartbeat.pressure });
        }
    }
    const added = addEvidence({ ...state, peers }, { atMs, evidence: heartbeat.evidence });
    if (added.fresh.length > 0) {
        effects.push({ type: "evidence-heard", evidence: added.fresh });
    }
    return { state: added.state, effects };
};

const tick = (state: MembershipState, atMs: number, random: number): MembershipTransition => {
    const gapMs = atMs - state.tickedAtMs;
    const pausedMs = gapMs > MEMBERSHIP_TIMING.pauseMs ? gapMs : 0;
    const peers = new Map<string, Peer>();
    for (const peer of state.peers.values()) {
        // After a pause of this daemon the peers get their time again; otherwise all of them would look silent.
        const kept = pausedMs > 0 && peer.beatAtMs !== undefined
            ? { ...peer, beatAtMs: Math.min(atMs, peer.beatAtMs + pausedMs) }
            : peer;
        const seenAtMs = kept.beatAtMs ?? kept.firstSeenAtMs;
        if (kept.listed || isLive(kept, { atMs }) || atMs - seenAtMs <= MEMBERSHIP_TIMING.forgetMs) {
            peers.set(kept.vmId, kept);
        }
    }
    const evidence = state.evidence.filter(entry => atMs - entry.heardAtMs <= MEMBERSHIP_TIMING.evidenceMs);
    const next: MembershipState = {
        ...state,
        peers,
        beat: state.beat + 1,
        tickedAtMs: atMs,
        evidence: evidence.length === state.evidence.length ? state.evidence : evidence,
    };
    const picked = pickPeers([...peers.values()], { count: PEERS_PER_TICK, random });
    return { state: next, effects: greet(next, picked, atMs) };
};

const reduceEvent = (state: MembershipState, event: MembershipEvent): MembershipTransition => {
    switch (event.type) {
        case "vm-list-read": {
            const next = readVmList(state, event);
            const first = state.vmList === undefined;
            const peers = [...next.peers.values()].slice(0, PEERS_AT_START);
            return { state: next, effects: first ? greet(next, peers, event.atMs) : [] };
        }
        case "heartbeat-received": {
            const heard = hearHeartbeat(state, event.heartbeat, event.atMs);
            const heartbeat = createHeartbeat(heard.state, event);
            return {
                state: heard.state,
                effects: [{ type: "answer-heartbeat", rpcId: event.rpcId, heartbeat }, ...heard.effects],
            };
        }
        case "heartbeat-answered":
            return event.heartbeat === undefined
                ? { state, effects: [] }
                : hearHeartbeat(state, event.heartbeat, event.atMs);
        case "evidence-observed": {
            const added = addEvidence(state, { atMs: event.atMs, evidence: [event.evidence] });
            return {
                state: added.state,
                effects: added.fresh.length === 0 ? [] : selectLivePeers(state, event).map(peer => ({
                    type: "send-evidence",
                    peerAddress: peer.address,
                    evidence: added.fresh,
                })),
            };
        }
        case "evidence-received": {
            const added = addEvidence(state, event);
            return {
                state: added.state,
                effects: added.fresh.length === 0 ? [] : [{ type: "evidence-heard", evidence: added.fresh }],
            };
        }
        case "configuration-changed":
            return { state: { ...state, configurationVersion: event.version }, effects: [] };
        case "pressure-measured":
            return { state: { ...state, pressure: event.pressure }, effects: [] };
        case "stop-started": {
            const next = { ...state, stopping: true };
            return { state: next, effects: greet(next, selectLivePeers(next, event), event.atMs) };
        }
        case "tick":
            return tick(state, event.atMs, event.random);
    }
};

const isSameMembers = (
    left: MembershipState["members"],
    right: MembershipState["members"],
): boolean =>
    left?.length === right?.length && (left ?? []).every((member, index) => {
        const other = right?.[index];
        return other?.daemon.vmId === member.daemon.vmId && other.daemon.incarnation === member.daemon.incarnation
            && other.address === member.address && other.availabilityZone === member.availabilityZone;
    });

/** Reduces one event; reports the members whenever they changed. */
export const reduceMembership = (state: MembershipState, event: MembershipEvent): MembershipTransition => {
    const reduced = reduceEvent(state, event);
    const members = selectMembers(reduced.state, event);
    if (members === undefined || isSameMembers(state.members, members)) {
        return reduced;
    }
    return {
        state: { ...reduced.state, members },
        effects: [...reduced.effects, { type: "members-changed", members }],
    };
};
