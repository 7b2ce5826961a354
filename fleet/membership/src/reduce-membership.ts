import type { Transition } from "@marigoldstall/core.types";
import { addEvidence } from "./add-evidence.js";
import { applyBeat } from "./apply-beat.js";
import { applyVmList } from "./apply-vm-list.js";
import { createHeartbeat } from "./create-heartbeat.js";
import type { Heartbeat } from "./heartbeat.js";
import { isLive } from "./is-live.js";
import type { MembershipEffect } from "./membership-effect.js";
import type { MembershipEvent } from "./membership-event.js";
import type { MembershipState } from "./membership-state.js";
import { MEMBERSHIP_TIMING } from "./membership-timing.js";
import type { Peer } from "./peer.js";
import { pickPeers } from "./pick-peers.js";
import { selectLivePeers } from "./select-live-peers.js";
import { selectMembers } from "./select-members.js";

const PEERS_PER_TICK = 3;
// Maximum number of listed peers that get a heartbeat after the first read of the VM list, so that a started daemon
// learns the members within one round trip.
const PEERS_AT_START = 16;

type MembershipTransition = Transition<MembershipState, MembershipEffect>;

const createHeartbeatEffects = (
    state: MembershipState,
    peers: readonly Peer[],
    atMs: number,
): readonly MembershipEffect[] => {
    const heartbeat = createHeartbeat(state, { atMs });
    return peers.map(peer => ({ type: "send-heartbeat", peerAddress: peer.address, heartbeat }));
};

const applyHeartbeat = (state: MembershipState, heartbeat: Heartbeat, atMs: number): MembershipTransition => {
    const effects: MembershipEffect[] = [];
    const peers = new Map(state.peers);
    const senderId = heartbeat.sender.daemon;
    for (const { member, beat } of heartbeat.beats) {
        if (member.daemon.vmId === state.self.daemon.vmId) {
            continue;
        }
        const direct = member.daemon.vmId === senderId.vmId;
        const previous = peers.get(member.daemon.vmId);
        const peer = applyBeat({ ...state, peers }, { atMs, member, beat, direct });
        if (peer === undefined) {
            continue;
        }
        peers.set(peer.vmId, peer);
        if (previous?.incarnation !== undefined && previous.incarnation !== peer.incarnation) {
            effects.push({
                type: "log-decision",
                decision: {
                    kind: "peer-restarted",
                    requestId: undefined,
                    service: undefined,
                    className: undefined,
                    candidates: [previous.incarnation],
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
    if (added.newEvidence.length > 0) {
        effects.push({ type: "evidence-heard", evidence: added.newEvidence });
    }
    return { state: added.state, effects };
};

const applyTick = (state: MembershipState, atMs: number, random: number): MembershipTransition => {
    const gapMs = atMs - state.lastTickAtMs;
    const pausedMs = gapMs > MEMBERSHIP_TIMING.pauseThresholdMs ? gapMs : 0;
    const peers = new Map<string, Peer>();
    for (const peer of state.peers.values()) {
        // Excludes a pause of this daemon from the silence of its peers; otherwise all of them would time out.
        const adjusted = pausedMs > 0 && peer.beatAtMs !== undefined
            ? { ...peer, beatAtMs: Math.min(atMs, peer.beatAtMs + pausedMs) }
            : peer;
        const lastSeenAtMs = adjusted.beatAtMs ?? adjusted.firstSeenAtMs;
        if (adjusted.listed || isLive(adjusted, { atMs }) || atMs - lastSeenAtMs <= MEMBERSHIP_TIMING.forgetAfterMs) {
            peers.set(adjusted.vmId, adjusted);
        }
    }
    const evidence = state.evidence.filter(entry => atMs - entry.receivedAtMs <= MEMBERSHIP_TIMING.evidenceRetentionMs);
    const next: MembershipState = {
        ...state,
        peers,
        beat: state.beat + 1,
        lastTickAtMs: atMs,
        evidence: evidence.length === state.evidence.length ? state.evidence : evidence,
    };
    const picked = pickPeers([...peers.values()], { count: PEERS_PER_TICK, random });
    return { state: next, effects: createHeartbeatEffects(next, picked, atMs) };
};

const reduceEvent = (state: MembershipState, event: MembershipEvent): MembershipTransition => {
    switch (event.type) {
        case "vm-list-read": {
            const next = applyVmList(state, event);
            const isFirstRead = state.vmList === undefined;
            const peers = [...next.peers.values()].slice(0, PEERS_AT_START);
            return { state: next, effects: isFirstRead ? createHeartbeatEffects(next, peers, event.atMs) : [] };
        }
        case "heartbeat-received": {
            const applied = applyHeartbeat(state, event.heartbeat, event.atMs);
            const heartbeat = createHeartbeat(applied.state, event);
            return {
                state: applied.state,
                effects: [{ type: "answer-heartbeat", rpcId: event.rpcId, heartbeat }, ...applied.effects],
            };
        }
        case "heartbeat-answered":
            return event.heartbeat === undefined
                ? { state, effects: [] }
                : applyHeartbeat(state, event.heartbeat, event.atMs);
        case "evidence-observed": {
            const added = addEvidence(state, { atMs: event.atMs, evidence: [event.evidence] });
            return {
                state: added.state,
                effects: added.newEvidence.length === 0 ? [] : selectLivePeers(state, event).map(peer => ({
                    type: "send-evidence",
                    peerAddress: peer.address,
                    evidence: added.newEvidence,
                })),
            };
        }
        case "evidence-received": {
            const added = addEvidence(state, event);
            return {
                state: added.state,
                effects: added.newEvidence.length === 0
                    ? []
                    : [{ type: "evidence-heard", evidence: added.newEvidence }],
            };
        }
        case "configuration-changed":
            return { state: { ...state, configurationVersion: event.version }, effects: [] };
        case "pressure-measured":
            return { state: { ...state, pressure: event.pressure }, effects: [] };
        case "stop-started": {
            const next = { ...state, stopping: true };
            return { state: next, effects: createHeartbeatEffects(next, selectLivePeers(next, event), event.atMs) };
        }
        case "tick":
            return applyTick(state, event.atMs, event.random);
    }
};

const areSameMembers = (
    left: MembershipState["members"],
    right: MembershipState["members"],
): boolean =>
    left?.length === right?.length && (left ?? []).every((member, index) => {
        const other = right?.[index];
        return other?.daemon.vmId === member.daemon.vmId && other.daemon.incarnation === member.daemon.incarnation
            && other.address === member.address && other.availabilityZone === member.availabilityZone;
    });

/** Reduces one event, and reports the members when they have changed. */
export const reduceMembership = (state: MembershipState, event: MembershipEvent): MembershipTransition => {
    const reduced = reduceEvent(state, event);
    const members = selectMembers(reduced.state, event);
    if (members === undefined || areSameMembers(state.members, members)) {
        return reduced;
    }
    return {
        state: { ...reduced.state, members },
        effects: [...reduced.effects, { type: "members-changed", members }],
    };
};
