import { createMembershipState, reduceMembership } from "@marigoldstall/fleet.membership";
import type { Heartbeat, MembershipEvent, MembershipState } from "@marigoldstall/fleet.membership";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CostRow } from "./cost-row.js";
import { generateMember } from "./generate-member.js";
import { measureCpuTime } from "./measure-cpu-time.js";
import { percentile } from "./percentile.js";

const SECOND_MS = 1000;
const WARM_UP_SECONDS = 12;
const MEASUREMENT_SECONDS = 8;

/** Measures the membership reducers of all daemons of a fleet, without a network and without faults. */
export const measureMembership = async (
    daemonCount: number,
    opts: { readonly seed: number; },
): Promise<{ readonly rows: readonly CostRow[]; readonly heartbeat: Heartbeat | undefined; }> => {
    const generator = xoroshiro128plus(opts.seed);
    const members = Array.from({ length: daemonCount }, (unused, index) => generateMember(index));
    const states: MembershipState[] = members.map(self => createMembershipState({ self, atMs: 0 }));
    const indexByAddress = new Map(members.map((member, index) => [member.address, index]));
    let memberChanges = 0;
    let lastHeartbeat: Heartbeat | undefined;
    const handleEvent = (index: number, event: MembershipEvent): Heartbeat | undefined => {
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
                memberChanges += 1;
            }
            else if (effect.type === "send-heartbeat") {
                const { heartbeat, peerAddress } = effect;
                lastHeartbeat = heartbeat;
                const receivedEvent: MembershipEvent = {
                    type: "heartbeat-received",
                    atMs: event.atMs,
                    rpcId: "1",
                    heartbeat,
                };
                const peerAnswer = handleEvent(indexByAddress.get(peerAddress) ?? -1, receivedEvent);
                handleEvent(index, {
                    type: "heartbeat-answered",
                    atMs: event.atMs,
                    peerAddress,
                    heartbeat: peerAnswer,
                });
            }
        }
        return answer;
    };
    const vms = members.map(({ daemon, address, availabilityZone }) => (
        { vmId: daemon.vmId, role: "entry", address, availabilityZone, state: "live" as const }
    ));
    members.forEach((member, index) =>
        handleEvent(index, { type: "vm-list-read", atMs: 0, vmList: { asOfMs: 0, vms } })
    );
    const run = (fromSecond: number, seconds: number): void => {
        for (let second = fromSecond; second < fromSecond + seconds; second += 1) {
            for (let index = 0; index < daemonCount; index += 1) {
                const atMs = (second + index / daemonCount) * SECOND_MS;
                handleEvent(index, { type: "tick", atMs, random: uniformFloat64(generator) });
            }
        }
    };
    run(1, WARM_UP_SECONDS);
    memberChanges = 0;
    const cpuMs = await measureCpuTime(() => run(1 + WARM_UP_SECONDS, MEASUREMENT_SECONDS));
    const memberCounts = states.map(state => state.members?.length ?? 0);
    const perDaemonSecond = 1 / (daemonCount * MEASUREMENT_SECONDS);
    const at = `${daemonCount} daemons`;
    const part = "membership";
    return {
        heartbeat: lastHeartbeat,
        rows: [
            { part, at, quantity: "processor ms/s of a daemon, reducer", value: (cpuMs * perDaemonSecond).toFixed(3) },
            {
                part,
                at,
                quantity: "heartbeat, bytes of JSON",
                value: String(JSON.stringify(lastHeartbeat ?? {}).length),
            },
            {
                part,
                at,
                quantity: "live members in a daemon's view, lowest and median",
                value: `${Math.min(...memberCounts)}, ${percentile(memberCounts, { percent: 50 })}`,
            },
            {
                part,
                at,
                quantity: "changes of members/s of a daemon",
                value: (memberChanges * perDaemonSecond).toFixed(2),
            },
        ],
    };
};
