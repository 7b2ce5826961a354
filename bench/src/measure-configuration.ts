import { createConfigurationState, reduceConfiguration } from "@marigoldstall/config.versions";
import type { ConfigurationState } from "@marigoldstall/config.versions";
import type { CostRow } from "./cost-row.js";
import { generateTargets } from "./generate-targets.js";
import { measureCpuTime } from "./measure-cpu-time.js";
import { measureHeap } from "./measure-heap.js";

const WARM_UP_PUBLISHES = 10;
const PUBLISHES = 30;
const COPIES = 20;

/** Measures the cost of processing a published configuration version, from its JSON to its acceptance. */
export const measureConfiguration = async (
    classCount: number,
    opts: { readonly serviceCount: number; },
): Promise<readonly CostRow[]> => {
    const targets = generateTargets({
        serviceCount: opts.serviceCount,
        classesPerService: classCount / opts.serviceCount,
    });
    let state: ConfigurationState = createConfigurationState({ atMs: 0 });
    let bytes = 0;
    const publish = (offset: number): void => {
        const value = {
            publishId: `v${offset + 1}-0190f3c2-5a10-7000-8000-000000000001`,
            version: offset + 1,
            parentVersion: offset,
            author: "operator",
            targets,
        };
        const page = JSON.stringify({ firstOffset: 0, nextOffset: offset + 1, records: [{ offset, value }] });
        bytes = page.length;
        const parsedPage = JSON.parse(page) as { readonly records: readonly { offset: number; value: unknown; }[]; };
        state = reduceConfiguration(state, {
            type: "log-read",
            atMs: offset,
            startedAtMs: offset,
            from: offset,
            firstOffset: 0,
            nextOffset: offset + 1,
            records: parsedPage.records,
        }).state;
    };
    for (let offset = 0; offset < WARM_UP_PUBLISHES; offset += 1) {
        publish(offset);
    }
    const cpuMs = await measureCpuTime(() => {
        for (let offset = WARM_UP_PUBLISHES; offset < WARM_UP_PUBLISHES + PUBLISHES; offset += 1) {
            publish(offset);
        }
    });
    if (state.fold.accepted?.version !== WARM_UP_PUBLISHES + PUBLISHES) {
        throw new Error("the last published configuration version was not accepted");
    }
    const targetsJson = JSON.stringify(targets);
    const heapBytes = measureHeap(() => Array.from({ length: COPIES }, () => JSON.parse(targetsJson) as unknown))
        / COPIES;
    const part = "configuration";
    const at = `${classCount} classes`;
    return [
        { part, at, quantity: "processor ms of one publish, written and read", value: (cpuMs / PUBLISHES).toFixed(1) },
        { part, at, quantity: "bytes of one publish", value: String(bytes) },
        { part, at, quantity: "heap bytes a class", value: (heapBytes / classCount).toFixed(0) },
    ];
};
