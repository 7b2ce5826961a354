import { createMembershipState, reduceMembership } from "@marigoldstall/fleet.membership";
import { createOwnershipState, reduceOwnership, SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import type { CostRow } from "./cost-row.js";
import { generateMember } from "./generate-member.js";
import { measureHeap } from "./measure-heap.js";

const COPIES = 20;
const DAEMON_COUNT = 400;
const START_WALL_MS = 1_800_000_000_000;

const cloneJson = <Value>(value: Value): Value => JSON.parse(JSON.stringify(value)) as Value;

const buildOwnershipState = () => {
    const self = generateMember(0);
    const entries = Array.from({ length: SHARE_COUNT }, (unused, share) => ({
        share,
        term: 1,
        owner: generateMember(share).daemon,
        guardian: generateMember(share + 1).daemon,
        fromMs: START_WALL_MS,
        capMs: START_WALL_MS + 3_600_000,
    }));
    const value = { type: "assign", recordId: "1", writer: self.daemon, basis: "bootstrap", entries };
    return reduceOwnership(createOwnershipState({ self, logRetentionMs: 3_600_000 }), {
        type: "log-read",
        atMs: 0,
        wallMs: START_WALL_MS,
        firstOffset: 0,
        nextOffset: 1,
        records: [{ offset: 0, value: cloneJson(value) }],
    }).state;
};

const buildMembershipState = () => {
    const self = generateMember(0);
    let state = createMembershipState({ self, atMs: 0 });
    for (let index = 1; index <= DAEMON_COUNT; index += 1) {
        const sender = cloneJson(generateMember(index));
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

/** Measures the heap that the ownership and membership state of a daemon takes. */
export const measureState = (): readonly CostRow[] => {
    const measureMeanHeap = (build: () => unknown): number =>
        measureHeap(() => Array.from({ length: COPIES }, build)) / COPIES;
    return [
        {
            part: "state",
            at: `${SHARE_COUNT} shares`,
            quantity: "heap bytes a share",
            value: (measureMeanHeap(buildOwnershipState) / SHARE_COUNT).toFixed(0),
        },
        {
            part: "state",
            at: `${DAEMON_COUNT} daemons`,
            quantity: "heap bytes a known daemon, membership with its member list",
            value: (measureMeanHeap(buildMembershipState) / DAEMON_COUNT).toFixed(0),
        },
    ];
};
