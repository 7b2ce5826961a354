import { createOwnershipState, reduceOwnership, SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import type { OwnershipEvent, OwnershipState } from "@marigoldstall/fleet.ownership";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CostRow } from "./cost-row.js";
import { generateMember } from "./generate-member.js";
import { measureCpuTime } from "./measure-cpu-time.js";

const START_WALL_MS = 1_800_000_000_000;
const LOG_RETENTION_MS = 3_600_000;
const TICK_INTERVAL_MS = 100;
// The daemon reads the stream 4 times a second (daemon.runtime, start-loops). The interval has to be a multiple of
// TICK_INTERVAL_MS.
const LOG_READ_INTERVAL_MS = 300;
const WARM_UP_MS = 6_000;
const MEASUREMENT_MS = 6_000;
const SECOND_MS = 1000;

/** Measures the ownership reducers of all daemons of a fleet on one in-memory log, without faults. */
export const measureOwnership = async (
    daemonCount: number,
    opts: { readonly seed: number; },
): Promise<readonly CostRow[]> => {
    const generator = xoroshiro128plus(opts.seed);
    const members = Array.from({ length: daemonCount }, (unused, index) => generateMember(index));
    const indexByVmId = new Map(members.map((member, index) => [member.daemon.vmId, index]));
    const states: OwnershipState[] = members.map(self =>
        createOwnershipState({ self, logRetentionMs: LOG_RETENTION_MS })
    );
    const records: { readonly offset: number; readonly value: unknown; }[] = [];
    const counters = { appendedBytes: 0, readBytes: 0, reads: 0, promises: 0, promiseBytes: 0 };
    const handleEvent = (index: number, event: OwnershipEvent): unknown => {
        const state = states[index];
        const self = members[index];
        if (state === undefined || self === undefined) {
            return undefined;
        }
        const transition = reduceOwnership(state, event);
        states[index] = transition.state;
        let answer: unknown;
        for (const effect of transition.effects) {
            if (effect.type === "append-ownership-record") {
                records.push({ offset: records.length, value: effect.value });
                counters.appendedBytes += JSON.stringify(effect.value).length;
                const { recordId } = effect;
                handleEvent(index, { type: "append-settled", atMs: event.atMs, recordId, result: "appended" });
            }
            else if (effect.type === "answer-promise") {
                answer = effect.reply;
                handleEvent(indexByVmId.get(effect.rpcId) ?? -1, {
                    type: "promise-answered",
                    atMs: event.atMs,
                    reply: effect.reply,
                });
            }
            else if (effect.type === "request-promise") {
                const { guardian, request } = effect;
                const rpcId = self.daemon.vmId;
                const requestEvent: OwnershipEvent = { type: "promise-requested", atMs: event.atMs, rpcId, request };
                const reply = handleEvent(indexByVmId.get(guardian.daemon.vmId) ?? -1, requestEvent);
                counters.promises += 1;
                counters.promiseBytes += JSON.stringify(request).length + JSON.stringify(reply ?? {}).length;
            }
        }
        return answer;
    };
    const nextOffsets = members.map(() => 0);
    const readLog = (index: number, atMs: number): void => {
        const from = nextOffsets[index] ?? 0;
        const page = JSON.stringify({ firstOffset: 0, nextOffset: records.length, records: records.slice(from) });
        nextOffsets[index] = records.length;
        counters.reads += 1;
        counters.readBytes += page.length;
        const parsedPage = JSON.parse(page) as Pick<Extract<OwnershipEvent, { type: "log-read"; }>, "records">;
        handleEvent(index, {
            type: "log-read",
            atMs,
            wallMs: START_WALL_MS + atMs,
            firstOffset: 0,
            nextOffset: records.length,
            records: parsedPage.records,
        });
    };
    const run = (fromMs: number, untilMs: number): void => {
        for (let startMs = fromMs; startMs < untilMs; startMs += TICK_INTERVAL_MS) {
            for (let index = 0; index < daemonCount; index += 1) {
                const atMs = startMs + TICK_INTERVAL_MS * index / daemonCount;
                if (startMs % LOG_READ_INTERVAL_MS === 0) {
                    readLog(index, atMs);
                }
                handleEvent(index, {
                    type: "tick",
                    atMs,
                    wallMs: START_WALL_MS + atMs,
                    random: uniformFloat64(generator),
                });
            }
        }
    };
    members.forEach((member, index) => handleEvent(index, { type: "members-changed", atMs: 0, members }));
    run(0, WARM_UP_MS);
    const firstMeasuredOffset = records.length;
    Object.assign(counters, { appendedBytes: 0, readBytes: 0, reads: 0, promises: 0, promiseBytes: 0 });
    const cpuMs = await measureCpuTime(() => run(WARM_UP_MS, WARM_UP_MS + MEASUREMENT_MS));
    const seconds = MEASUREMENT_MS / SECOND_MS;
    const appendedCount = records.length - firstMeasuredOffset;
    const ownerCount = states.filter(state => state.owned.size > 0).length;
    const rows: readonly (readonly [string, string])[] = [
        ["processor ms/s of a daemon, reducer and JSON of the reads", (cpuMs / daemonCount / seconds).toFixed(3)],
        [`daemons that own one of the ${SHARE_COUNT} shares`, String(ownerCount)],
        ["appends/s at the log, whole fleet", (appendedCount / seconds).toFixed(1)],
        ["bytes of one appended record, mean", (counters.appendedBytes / Math.max(appendedCount, 1)).toFixed(0)],
        ["bytes/s of records read by each daemon", (counters.readBytes / daemonCount / seconds).toFixed(0)],
        ["reads/s at the log, whole fleet", (counters.reads / seconds).toFixed(0)],
        ["requests for promises/s, whole fleet", (counters.promises / seconds).toFixed(1)],
        [
            "bytes of a request for a promise with its answer, mean JSON",
            (counters.promiseBytes / Math.max(counters.promises, 1)).toFixed(0),
        ],
    ];
    return rows.map(([quantity, value]) => ({ part: "ownership", at: `${daemonCount} daemons`, quantity, value }));
};
