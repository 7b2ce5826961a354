import { createOwnershipState, reduceOwnership, SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import type { OwnershipEvent, OwnershipState } from "@marigoldstall/fleet.ownership";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CostRow } from "./cost-row.js";
import { fleetMember } from "./fleet-member.js";
import { timeProcessor } from "./time-processor.js";

const START_MS = 1_800_000_000_000;
const RETENTION_MS = 3_600_000;
const TICK_MS = 100;
// The daemon reads the stream 4 times a second (daemon.runtime, start-loops).
const READ_EVERY_MS = 300;
const WARM_UP_MS = 6_000;
const MEASURED_MS = 6_000;
const SECOND_MS = 1000;

/** Runs the ownership reducers of a whole fleet on one log in memory, without a fault. */
export const measureOwnership = async (
    daemons: number,
    opts: { readonly seed: number; },
): Promise<readonly CostRow[]> => {
    const generator = xoroshiro128plus(opts.seed);
    const members = Array.from({ length: daemons }, (unused, index) => fleetMember(index));
    const indexes = new Map(members.map((member, index) => [member.daemon.vmId, index]));
    const states: OwnershipState[] = members.map(self => createOwnershipState({ self, logRetentionMs: RETENTION_MS }));
    const records: { readonly offset: number; readonly value: unknown; }[] = [];
    const count = { appendedBytes: 0, readBytes: 0, reads: 0, promises: 0, promiseBytes: 0 };
    const send = (index: number, event: OwnershipEvent): unknown => {
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
                count.appendedBytes += JSON.stringify(effect.value).length;
                const { recordId } = effect;
                send(index, { type: "append-settled", atMs: event.atMs, recordId, result: "appended" });
            }
            else if (effect.type === "answer-promise") {
                answer = effect.reply;
                send(indexes.get(effect.rpcId) ?? -1, {
                    type: "promise-answered",
                    atMs: event.atMs,
                    reply: effect.reply,
                });
            }
            else if (effect.type === "request-promise") {
                const { guardian, request } = effect;
                const rpcId = self.daemon.vmId;
                const asked: OwnershipEvent = { type: "promise-requested", atMs: event.atMs, rpcId, request };
                const reply = send(indexes.get(guardian.daemon.vmId) ?? -1, asked);
                count.promises += 1;
                count.promiseBytes += JSON.stringify(request).length + JSON.stringify(reply ?? {}).length;
            }
        }
        return answer;
    };
    const nextOffsets = members.map(() => 0);
    const read = (index: number, atMs: number): void => {
        const from = nextOffsets[index] ?? 0;
        const page = JSON.stringify({ firstOffset: 0, nextOffset: records.length, records: records.slice(from) });
        nextOffsets[index] = records.length;
        count.reads += 1;
        count.readBytes += page.length;
        const parsed = JSON.parse(page) as Pick<Extract<OwnershipEvent, { type: "log-read"; }>, "records">;
        send(index, {
            type: "log-read",
            atMs,
            wallMs: START_MS + atMs,
            firstOffset: 0,
            nextOffset: records.length,
            records: parsed.records,
        });
    };
    const run = (fromMs: number, untilMs: number): void => {
        for (let startMs = fromMs; startMs < untilMs; startMs += TICK_MS) {
            for (let index = 0; index < daemons; index += 1) {
                const atMs = startMs + TICK_MS * index / daemons;
                if (startMs % READ_EVERY_MS === 0) {
                    read(index, atMs);
                }
                send(index, { type: "tick", atMs, wallMs: START_MS + atMs, random: uniformFloat64(generator) });
            }
        }
    };
    members.forEach((member, index) => send(index, { type: "members-changed", atMs: 0, members }));
    run(0, WARM_UP_MS);
    const firstMeasured = records.length;
    Object.assign(count, { appendedBytes: 0, readBytes: 0, reads: 0, promises: 0, promiseBytes: 0 });
    const usedMs = await timeProcessor(() => run(WARM_UP_MS, WARM_UP_MS + MEASURED_MS));
    const seconds = MEASURED_MS / SECOND_MS;
    const appended = records.length - firstMeasured;
    const owners = states.filter(state => state.owned.size > 0).length;
    const rows: readonly (readonly [string, string])[] = [
        ["processor ms/s of a daemon, reducer and JSON of the reads", (usedMs / daemons / seconds).toFixed(3)],
        [`daemons that own one of the ${SHARE_COUNT} shares`, String(owners)],
        ["appends/s at the log, whole fleet", (appended / seconds).toFixed(1)],
        ["bytes of one appended record, mean", (count.appendedBytes / Math.max(appended, 1)).toFixed(0)],
        ["bytes/s of records read by each daemon", (count.readBytes / daemons / seconds).toFixed(0)],
        ["reads/s at the log, whole fleet", (count.reads / seconds).toFixed(0)],
        ["requests for promises/s, whole fleet", (count.promises / seconds).toFixed(1)],
        [
            "bytes of a request for a promise with its answer, mean JSON",
            (count.promiseBytes / Math.max(count.promises, 1)).toFixed(0),
        ],
    ];
    return rows.map(([quantity, value]) => ({ part: "ownership", at: `${daemons} daemons`, quantity, value }));
};
