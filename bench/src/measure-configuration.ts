import { createConfigurationState, reduceConfiguration } from "@marigoldstall/config.versions";
import type { ConfigurationState } from "@marigoldstall/config.versions";
import type { CostRow } from "./cost-row.js";
import { measureHeap } from "./measure-heap.js";
import { planTargets } from "./plan-targets.js";
import { timeProcessor } from "./time-processor.js";

const WARM_UP_PUBLISHES = 10;
const PUBLISHES = 30;
const COPIES = 20;

/** Cost of reading one published version, from JSON to the version in force. */
export const measureConfiguration = async (
    classes: number,
    opts: { readonly services: number; },
): Promise<readonly CostRow[]> => {
    const targets = planTargets({ services: opts.services, classesPerService: classes / opts.services });
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
        const read = JSON.parse(page) as { readonly records: readonly { offset: number; value: unknown; }[]; };
        state = reduceConfiguration(state, {
            type: "log-read",
            atMs: offset,
            startedAtMs: offset,
            from: offset,
            firstOffset: 0,
            nextOffset: offset + 1,
            records: read.records,
        }).state;
    };
    for (let offset = 0; offset < WARM_UP_PUBLISHES; offset += 1) {
        publish(offset);
    }
    const usedMs = await timeProcessor(() => {
        for (let offset = WARM_UP_PUBLISHES; offset < WARM_UP_PUBLISHES + PUBLISHES; offset += 1) {
            publish(offset);
        }
    });
    if (state.fold.accepted?.version !== WARM_UP_PUBLISHES + PUBLISHES) {
        throw new Error("a version was not accepted");
    }
    const text = JSON.stringify(targets);
    const heap = measureHeap(() => Array.from({ length: COPIES }, () => JSON.parse(text) as unknown)) / COPIES;
    const part = "configuration";
    const at = `${classes} classes`;
    return [
        { part, at, quantity: "processor ms of one publish, written and read", value: (usedMs / PUBLISHES).toFixed(1) },
        { part, at, quantity: "bytes of one publish", value: String(bytes) },
        { part, at, quantity: "heap bytes a class", value: (heap / classes).toFixed(0) },
    ];
};
