import { selectConfiguration } from "@marigoldstall/config.versions";
import { expect } from "chai";
import fc from "fast-check";
import type { Command } from "./command.js";
import { FleetModel } from "./fleet-model.js";

const SEEDS = [1, 2, 3, 20261204];
const RUNS = 250;

const smallIndex = fc.nat({ max: 11 });
const step: fc.Arbitrary<Command> = fc.record({
    op: fc.constant("step" as const),
    index: smallIndex,
    fault: fc.oneof(
        { weight: 6, arbitrary: fc.constant("none" as const) },
        { weight: 4, arbitrary: fc.constantFrom("response-lost" as const, "delayed" as const, "refused" as const) },
    ),
    overlap: fc.nat({ max: 3 }),
});
const read: fc.Arbitrary<Command> = fc.record({
    op: fc.constant("read" as const),
    index: smallIndex,
    limit: fc.integer({ min: 1, max: 5 }),
    overlap: fc.nat({ max: 4 }),
});
const gossip: fc.Arbitrary<Command> = fc.record({
    op: fc.constant("gossip" as const),
    index: smallIndex,
    from: smallIndex,
});
const indexed: fc.Arbitrary<Command> = fc.record({
    op: fc.constantFrom("publish", "publish", "resume", "complete-delayed-write", "restart", "snapshot", "repeat-read"),
    index: smallIndex,
});
const truncate: fc.Arbitrary<Command> = fc.record({
    op: fc.constant("truncate" as const),
    count: fc.integer({ min: 1, max: 6 }),
});

const command = fc.oneof(
    { weight: 10, arbitrary: step },
    { weight: 5, arbitrary: read },
    { weight: 2, arbitrary: gossip },
    { weight: 5, arbitrary: indexed },
    { weight: 1, arbitrary: truncate },
);

describe("configuration of a fleet", () => {
    for (const seed of SEEDS) {
        it(`agrees on each version, never reverts one and publishes none twice (seed ${seed})`, () => {
            const commands = fc.array(command, { minLength: 20, maxLength: 150 });
            fc.assert(
                fc.property(commands, list => {
                    const fleet = new FleetModel();
                    list.forEach(entry => fleet.run(entry));
                    fleet.runToCompletion();
                    fleet.checkOutcomes();
                    const complete = fleet.readers.filter(reader => reader.state.fold.isComplete);
                    for (const reader of complete) {
                        expect(selectConfiguration(reader.state)?.version ?? 0).to.equal(fleet.log.newestVersion);
                    }
                }),
                { seed, numRuns: RUNS },
            );
        });
    }
});
