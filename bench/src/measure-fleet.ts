import type { VmList } from "@marigoldstall/core.types";
import { createRootState, reduceRoot } from "@marigoldstall/daemon.state";
import type { RootEventBody, RootState } from "@marigoldstall/daemon.state";
import { selectOwnBounds, SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CostRow } from "./cost-row.js";
import { generateMember } from "./generate-member.js";
import { generateVmList } from "./generate-vm-list.js";
import { measureCpuTime } from "./measure-cpu-time.js";
import { percentile } from "./percentile.js";

const START_WALL_MS = 1_800_000_000_000;
const LOG_RETENTION_MS = 3_600_000;
const TICK_INTERVAL_MS = 100;
const LOG_READ_INTERVAL_MS = 300;
const SECOND_MS = 1000;
const WARM_UP_MS = 12_000;
const MEASUREMENT_MS = 8_000;

interface OwnershipRecordValue {
    readonly type: string;
    readonly entries?: readonly unknown[];
}

/** Runs the root reducers of all daemons of a fleet on one in-memory log, without a network. */
class SimulatedFleet {
    readonly states: RootState[];
    readonly records: { readonly offset: number; readonly value: OwnershipRecordValue; }[] = [];
    private readonly members;
    private readonly generator: ReturnType<typeof xoroshiro128plus>;
    private readonly indexByAddress: ReadonlyMap<string, number>;
    private readonly vmList: VmList;
    private readonly nextOffsets: number[];

    constructor(daemonCount: number, opts: { readonly seed: number; }) {
        this.generator = xoroshiro128plus(opts.seed);
        this.members = Array.from({ length: daemonCount }, (unused, index) => generateMember(index));
        this.indexByAddress = new Map(this.members.map((member, index) => [member.address, index]));
        this.vmList = generateVmList({
            backendServerCount: 0,
            serviceCount: 1,
            entryVmCount: daemonCount,
            asOfMs: START_WALL_MS,
        });
        this.nextOffsets = this.members.map(() => 0);
        this.states = this.members.map(self =>
            createRootState({ self, atMs: 0, logRetentionMs: LOG_RETENTION_MS, shareOf: () => 0 })
        );
    }

    run(fromMs: number, untilMs: number, onSecond: (wallMs: number) => void): void {
        for (let startMs = fromMs; startMs < untilMs; startMs += TICK_INTERVAL_MS) {
            for (let index = 0; index < this.members.length; index += 1) {
                const atMs = startMs + TICK_INTERVAL_MS * index / this.members.length;
                this.stepDaemon(index, { startMs, atMs });
            }
            if (startMs % SECOND_MS === 0) {
                onSecond(START_WALL_MS + startMs);
            }
        }
    }

    private stepDaemon(index: number, opts: { readonly startMs: number; readonly atMs: number; }): void {
        const { startMs, atMs } = opts;
        if (startMs === 0) {
            this.handleEvent(index, atMs, { type: "vm-list-read", vmList: this.vmList });
        }
        if (startMs % LOG_READ_INTERVAL_MS === 0) {
            const from = this.nextOffsets[index] ?? 0;
            const nextOffset = this.records.length;
            this.nextOffsets[index] = nextOffset;
            const read = { from, startedAtMs: atMs, firstOffset: 0, nextOffset, records: this.records.slice(from) };
            this.handleEvent(index, atMs, { type: "ownership-log-read", read });
        }
        this.handleEvent(index, atMs, { type: "tick", checkAddresses: [] });
        // Staggers the second-tick events of the daemons.
        if ((startMs / TICK_INTERVAL_MS + index) % (SECOND_MS / TICK_INTERVAL_MS) === 0) {
            this.handleEvent(index, atMs, { type: "second-tick" });
        }
    }

    private handleEvent(index: number, atMs: number, body: RootEventBody): unknown {
        const state = this.states[index];
        if (state === undefined) {
            return undefined;
        }
        const context = { atMs, wallMs: START_WALL_MS + atMs, random: uniformFloat64(this.generator) };
        const transition = reduceRoot(state, { ...body, ...context });
        this.states[index] = transition.state;
        let answer: unknown;
        for (const effect of transition.effects) {
            switch (effect.type) {
                case "append-ownership-record": {
                    this.records.push({ offset: this.records.length, value: effect.value as OwnershipRecordValue });
                    const { recordId } = effect;
                    this.handleEvent(index, atMs, { type: "append-settled", recordId, result: "appended" });
                    break;
                }
                case "send-heartbeat": {
                    const { heartbeat, peerAddress } = effect;
                    const peer = this.indexByAddress.get(peerAddress) ?? -1;
                    const peerAnswer = this.handleEvent(peer, atMs, {
                        type: "heartbeat-received",
                        rpcId: "1",
                        heartbeat,
                    });
                    this.handleEvent(index, atMs, {
                        type: "heartbeat-answered",
                        peerAddress,
                        heartbeat: peerAnswer as typeof heartbeat | undefined,
                    });
                    break;
                }
                case "answer-heartbeat":
                    answer = effect.heartbeat;
                    break;
                case "request-promise": {
                    const guardian = this.indexByAddress.get(effect.guardian.address) ?? -1;
                    const request: RootEventBody = { type: "promise-requested", rpcId: "1", request: effect.request };
                    const reply = this.handleEvent(guardian, atMs, request);
                    if (reply !== undefined) {
                        type PromiseAnswered = Extract<RootEventBody, { type: "promise-answered"; }>;
                        this.handleEvent(index, atMs, {
                            type: "promise-answered",
                            reply: reply as PromiseAnswered["reply"],
                        });
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

/** Measures how stable share ownership is when each daemon's view of the others comes from heartbeats only. */
export const measureFleet = async (
    daemonCount: number,
    opts: { readonly seed: number; },
): Promise<readonly CostRow[]> => {
    const fleet = new SimulatedFleet(daemonCount, opts);
    fleet.run(0, WARM_UP_MS, () => undefined);
    const firstMeasuredOffset = fleet.records.length;
    const coveredShareCounts: number[] = [];
    const cpuMs = await measureCpuTime(() => {
        fleet.run(WARM_UP_MS, WARM_UP_MS + MEASUREMENT_MS, wallMs => {
            const shares = fleet.states.flatMap(state =>
                [...selectOwnBounds(state.ownership)].filter(([, boundMs]) => boundMs > wallMs).map(([share]) => share)
            );
            coveredShareCounts.push(new Set(shares).size);
        });
    });
    const seconds = MEASUREMENT_MS / SECOND_MS;
    const values = fleet.records.slice(firstMeasuredOffset).map(record => record.value);
    const assignRecords = values.filter(value => value.type === "assign");
    const newTermCount = assignRecords.reduce((sum, value) => sum + (value.entries?.length ?? 0), 0);
    const memberCounts = fleet.states.map(state => state.membership.members?.length ?? 0);
    const rows: readonly (readonly [string, string])[] = [
        ["processor ms/s of a daemon, root reducer", (cpuMs / daemonCount / seconds).toFixed(2)],
        [
            "live members in a daemon's view, lowest and median",
            `${Math.min(...memberCounts)}, ${percentile(memberCounts, { percent: 50 })}`,
        ],
        ["appends/s at the log, whole fleet", (values.length / seconds).toFixed(1)],
        ["assign records/s, whole fleet", (assignRecords.length / seconds).toFixed(1)],
        ["new terms written a second, whole fleet", (newTermCount / seconds).toFixed(1)],
        [
            `shares of ${SHARE_COUNT} with a bound above the clock, lowest and median of the seconds`,
            `${Math.min(...coveredShareCounts)}, ${percentile(coveredShareCounts, { percent: 50 })}`,
        ],
    ];
    return rows.map(([quantity, value]) => ({
        part: "shares under real views",
        at: `${daemonCount} daemons`,
        quantity,
        value,
    }));
};
