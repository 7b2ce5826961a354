import { expect } from "chai";
import fc from "fast-check";
import { RandomWorld } from "./random-world.js";

const SEED = 20_261_205;

describe("reduceRouting", () => {
    describe("over random orders of events", () => {
        it("ends each request once, runs non-repeatable ones at most once, and keeps every limit", () => {
            const counts = { retries: 0, hedges: 0, patient: 0, ejected: 0, leaving: 0 };
            fc.assert(
                fc.property(RandomWorld.steps, steps => {
                    const world = new RandomWorld();
                    world.run(steps);
                    for (const key of Object.keys(counts) as (keyof typeof counts)[]) {
                        counts[key] += world.counts[key];
                    }
                }),
                { seed: SEED, numRuns: 400, endOnFailure: true },
            );
            // Otherwise the property would hold because the situations never arise.
            for (const [situation, count] of Object.entries(counts)) {
                expect(count, situation).to.be.greaterThan(20);
            }
        });
    });
});
