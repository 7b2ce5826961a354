import type { VmList } from "@marigoldstall/core.types";
import { createRootState, reduceRoot } from "@marigoldstall/daemon.state";
import type { RootEventBody, RootState } from "@marigoldstall/daemon.state";
import { selectOwnBounds, SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CostRow } from "./cost-row.js";
import { fleetMember } from "./fleet-member.js";
import { percentile } from "./percentile.js";
import { planVmList } from "./plan-vm-list.js";
import { timeProcessor } from "./time-processor.js";

const START_MS = 1_800_000_000_000;
const RETENTION_MS = 3_600_000;
const TICK_MS = 100;
const READ_EVERY_MS = 300;
const SECOND_MS = 1000;
const WARM_UP_MS = 12_000;
const MEASURED_MS = 8_000;

interface OwnershipValue {
    readonly type: string;
    readonly entries?: readonly unknown[];
}

/** The root reducers of a whole fleet against each other and one log in memory. */
class Fleet {
    readonly states: RootState[];
    readonly records: { readonly offset: number; readonly value: OwnershipValue; }[] = [];
    private readonly members;
    private readonly generator: ReturnType<typeof xoroshiro128plus>;
    private readonly indexes: ReadonlyMap<string, number>;
    private readonly vmList: VmList;
    private readonly nextOffsets: number[];

    constructor(daemons: number, opts: { readonly seed: number; }) {
        this.generator = xoroshiro128plus(opts.seed);
        this.members = Array.from({ length: daemons }, (unused, index) => fleetMember(index));
        this.indexes = new Map(this.members.map((member, index) => [member.address, index]));
        this.vmList = planVmList({ backendServers: 0, services: 1, entryVms: daemons, asOfMs: START_MS });
        this.nextOffsets = this.members.map(() => 0);
        this.states = this.members.map(self =>
            createRootState({ self, atMs: 0, logRetentionMs: RETENTION_MS, shareOf: () => 0 })
        );
    }

    run(fromMs: number, untilMs: number, onSecond: (wallMs: number) => void): void {
        for (let startMs = fromMs; startMs < untilMs; startMs += TICK_MS) {
            for (let index = 0; index < this.members.length; index += 1) {
                const atMs = startMs + TICK_MS * index / this.members.length;
                this.act(index, { startMs, atMs });
            }
            if (startMs % SECOND_MS === 0) {
                onSecond(START_MS + startMs);
            }
        }
    }

    private act(index: number, opts: { readonly startMs: number; readonly atMs: number; }): void {
        const { startMs, atMs } = opts;
        if (startMs === 0) {
            this.send(index, atMs, { type: "vm-list-read", vmList: this.vmList });
        }
        if (startMs % READ_EVERY_MS === 0) {
            const from = this.nextOffsets[index] ?? 0;
            const nextOffset = this.records.length;
            this.nextOffsets[index] = nextOffset;
            const read = { from, startedAtMs: atMs, firstOffset: 0, nextOffset, records: this.records.slice(from) };
            this.send(index, atMs, { type: "ownership-log-read", read });
        }
        this.send(index, atMs, { type: "tick", checkAddresses: [] });
        // The seconds of the daemons do not begin at the same moment.
        if ((startMs / TICK_MS + index) % (SECOND_MS / TICK_MS) === 0) {
            this.send(index, atMs, { type: "second-tick" });
        }
    }

    private send(index: number, atMs: number, body: RootEventBody): unknown {
        const state = this.states[index];
        if (state === undefined) {
            return undefined;
        }
        const context = { atMs, wallMs: START_MS + atMs, random: uniformFloat64(this.generator) };
        const transition = reduceRoot(state, { ...body, ...context });
        this.states[index] = transition.state;
        let answer: unknown;
        for (const effect of transition.effects) {
            switch (effect.type) {
                case "append-ownership-record": {
                    this.records.push({ offset: this.records.length, value: effect.value as OwnershipValue });
                    const { recordId } = effect;
                    this.send(index, atMs, { type: "append-settled", recordId, result: "appended" });
                    break;
                }
                case "send-heartbeat": {
                    const { heartbeat, peerAddress } = effect;
                    const peer = this.indexes.get(peerAddress) ?? -1;
                    const answered = this.send(peer, atMs, { type: "heartbeat-received", rpcId: "1", heartbeat });
                    this.send(index, atMs, {
                        type: "heartbeat-answered",
                        peerAddress,
                        heartbeat: answered as typeof heartbeat | undefined,
                    });
                    break;
                }
                case "answer-heartbeat":
                    answer = effect.heartbeat;
                    break;
                case "request-promise": {
                    const guardian = this.indexes.get(effect.guardian.address) ?? -1;
                    const request: RootEventBody = { type: "promise-requested", rpcId: "1", request: effect.request };
                    const reply = this.send(guardian, atMs, request);
                    if (reply !== undefined) {
                        type Answered = Extract<RootEventBody, { type: "promise-answered"; }>;
                        this.send(index, atMs, { type: "promise-answered", reply: reply as Answered["reply"] });
                    }
                    break;
                }
                case "answer-promise":
                    answer = effect.reply;
                    break;
                default:
                    break;
            }
        }
        return answer;
    }
}

/** Stability of the shares when each daemon sees the others through heartbeats only, without any fault. */
export const measureFleet = async (daemons: number, opts: { readonly seed: number; }): Promise<readonly CostRow[]> => {
    const fleet = new Fleet(daemons, opts);
    fleet.run(0, WARM_UP_MS, () => undefined);
    const firstMeasured = fleet.records.length;
    const covered: number[] = [];
    const usedMs = await timeProcessor(() => {
        fleet.run(WARM_UP_MS, WARM_UP_MS + MEASURED_MS, wallMs => {
            const shares = fleet.states.flatMap(state =>
                [...selectOwnBounds(state.ownership)].filter(([, boundMs]) => boundMs > wallMs).map(([share]) => share)
            );
            covered.push(new Set(shares).size);
        });
    });
    const seconds = MEASURED_MS / SECOND_MS;
    const values = fleet.records.slice(firstMeasured).map(record => record.value);
    const assigns = values.filter(value => value.type === "assign");
    const entries = assigns.reduce((sum, value) => sum + (value.entries?.length ?? 0), 0);
    const known = fleet.states.map(state => state.membership.members?.length ?? 0);
    const rows: readonly (readonly [string, string])[] = [
        ["processor ms/s of a daemon, root reducer", (usedMs / daemons / seconds).toFixed(2)],
        [
            "live members in a daemon's view, lowest and median",
            `${Math.min(...known)}, ${percentile(known, { percent: 50 })}`,
        ],
        ["appends/s at the log, whole fleet", (values.length / seconds).toFixed(1)],
        ["assign records/s, whole fleet", (assigns.length / seconds).toFixed(1)],
        ["new terms written a second, whole fleet", (entries / seconds).toFixed(1)],
        [
            `shares of ${SHARE_COUNT} with a bound above the clock, lowest and median of the seconds`,
            `${Math.min(...covered)}, ${percentile(covered, { percent: 50 })}`,
        ],
    ];
    return rows.map(([quantity, value]) => ({
        part: "shares under real views",
        at: `${daemons} daemons`,
        quantity,
        value,
    }));
};
