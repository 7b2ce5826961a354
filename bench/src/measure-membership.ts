import { createMembershipState, reduceMembership } from "@marigoldstall/fleet.membership";
import type { Heartbeat, MembershipEvent, MembershipState } from "@marigoldstall/fleet.membership";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CostRow } from "./cost-row.js";
import { fleetMember } from "./fleet-member.js";
import { percentile } from "./percentile.js";
import { timeProcessor } from "./time-processor.js";

const SECOND_MS = 1000;
const WARM_UP_SECONDS = 12;
const MEASURED_SECONDS = 8;

/** Runs the membership reducers of a whole fleet against each other, without a fault and without a network. */
export const measureMembership = async (
    daemons: number,
    opts: { readonly seed: number; },
): Promise<{ readonly rows: readonly CostRow[]; readonly heartbeat: Heartbeat | undefined; }> => {
    const generator = xoroshiro128plus(opts.seed);
    const members = Array.from({ length: daemons }, (unused, index) => fleetMember(index));
    const states: MembershipState[] = members.map(self => createMembershipState({ self, atMs: 0 }));
    const indexes = new Map(members.map((member, index) => [member.address, index]));
    let changes = 0;
    let newest: Heartbeat | undefined;
    const send = (index: number, event: MembershipEvent): Heartbeat | undefined => {
        const state = states[index];
        if (state === undefined) {
            return undefined;
        }
        const transition = reduceMembership(state, event);
        states[index] = transition.state;
        let answer: Heartbeat | undefined;
        for (const effect of transition.effects) {
            if (effect.type === "answer-heartbeat") {
                answer = effect.heartbeat;
            }
            else if (effect.type === "members-changed") {
                changes += 1;
            }
            else if (effect.type === "send-heartbeat") {
                const { heartbeat, peerAddress } = effect;
                newest = heartbeat;
                const received: MembershipEvent = {
                    type: "heartbeat-received",
                    atMs: event.atMs,
                    rpcId: "1",
                    heartbeat,
                };
                const answered = send(indexes.get(peerAddress) ?? -1, received);
                send(index, { type: "heartbeat-answered", atMs: event.atMs, peerAddress, heartbeat: answered });
            }
        }
        return answer;
    };
    const vms = members.map(({ daemon, address, availabilityZone }) => (
        { vmId: daemon.vmId, role: "entry", address, availabilityZone, state: "live" as const }
    ));
    members.forEach((member, index) => send(index, { type: "vm-list-read", atMs: 0, vmList: { asOfMs: 0, vms } }));
    const run = (fromSecond: number, seconds: number): void => {
        for (let second = fromSecond; second < fromSecond + seconds; second += 1) {
            for (let index = 0; index < daemons; index += 1) {
                const atMs = (second + index / daemons) * SECOND_MS;
                send(index, { type: "tick", atMs, random: uniformFloat64(generator) });
            }
        }
    };
    run(1, WARM_UP_SECONDS);
    changes = 0;
    const usedMs = await timeProcessor(() => run(1 + WARM_UP_SECONDS, MEASURED_SECONDS));
    const known = states.map(state => state.members?.length ?? 0);
    const perDaemon = 1 / (daemons * MEASURED_SECONDS);
    const at = `${daemons} daemons`;
    const part = "membership";
    return {
        heartbeat: newest,
        rows: [
            { part, at, quantity: "processor ms/s of a daemon, reducer", value: (usedMs * perDaemon).toFixed(3) },
            { part, at, quantity: "heartbeat, bytes of JSON", value: String(JSON.stringify(newest ?? {}).length) },
            {
                part,
                at,
                quantity: "live members in a daemon's view, lowest and median",
                value: `${Math.min(...known)}, ${percentile(known, { percent: 50 })}`,
            },
            { part, at, quantity: "changes of members/s of a daemon", value: (changes * perDaemon).toFixed(2) },
        ],
    };
};
