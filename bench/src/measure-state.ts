import { createMembershipState, reduceMembership } from "@marigoldstall/fleet.membership";
import { createOwnershipState, reduceOwnership, SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import type { CostRow } from "./cost-row.js";
import { fleetMember } from "./fleet-member.js";
import { measureHeap } from "./measure-heap.js";

const COPIES = 20;
const DAEMONS = 400;
const START_MS = 1_800_000_000_000;

const copy = <Value>(value: Value): Value => JSON.parse(JSON.stringify(value)) as Value;

const buildOwnership = () => {
    const self = fleetMember(0);
    const entries = Array.from({ length: SHARE_COUNT }, (unused, share) => ({
        share,
        term: 1,
        owner: fleetMember(share).daemon,
        guardian: fleetMember(share + 1).daemon,
        fromMs: START_MS,
        capMs: START_MS + 3_600_000,
    }));
    const value = { type: "assign", recordId: "1", writer: self.daemon, basis: "bootstrap", entries };
    return reduceOwnership(createOwnershipState({ self, logRetentionMs: 3_600_000 }), {
        type: "log-read",
        atMs: 0,
        wallMs: START_MS,
        firstOffset: 0,
        nextOffset: 1,
        records: [{ offset: 0, value: copy(value) }],
    }).state;
};

const buildMembership = () => {
    const self = fleetMember(0);
    let state = createMembershipState({ self, atMs: 0 });
    for (let index = 1; index <= DAEMONS; index += 1) {
        const sender = copy(fleetMember(index));
        state = reduceMembership(state, {
            type: "heartbeat-received",
            atMs: 1,
            rpcId: "1",
            heartbeat: {
                sender,
                stopping: false,
                configurationVersion: 1,
                pressure: [],
                evidence: [],
                beats: [{ member: sender, beat: 1 }],
            },
        }).state;
    }
    return state;
};

/** Heap of what a daemon knows about shares and about other daemons. */
export const measureState = (): readonly CostRow[] => {
    const repeat = (build: () => unknown): number => measureHeap(() => Array.from({ length: COPIES }, build)) / COPIES;
    return [
        {
            part: "state",
            at: `${SHARE_COUNT} shares`,
            quantity: "heap bytes a share",
            value: (repeat(buildOwnership) / SHARE_COUNT).toFixed(0),
        },
        {
            part: "state",
            at: `${DAEMONS} daemons`,
            quantity: "heap bytes a known daemon, membership with its member list",
            value: (repeat(buildMembership) / DAEMONS).toFixed(0),
        },
    ];
};
