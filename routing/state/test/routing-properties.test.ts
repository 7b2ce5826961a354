import { expect } from "chai";
import fc from "fast-check";
import { RandomEventRun } from "./random-event-run.js";

const SEED = 20_261_205;

describe("reduceRouting", () => {
    describe("over random orders of events", () => {
        it("ends each request once, runs non-repeatable ones at most once, and respects every limit", () => {
            const counts = { retries: 0, hedges: 0, patient: 0, ejected: 0, leaving: 0 };
            fc.assert(
                fc.property(RandomEventRun.steps, steps => {
                    const eventRun = new RandomEventRun();
                    eventRun.run(steps);
                    for (const key of Object.keys(counts) as (keyof typeof counts)[]) {
                        counts[key] += eventRun.counts[key];
                    }
                }),
                { seed: SEED, numRuns: 400, endOnFailure: true },
            );
            // Without this, the property would also hold if these situations never occurred.
            for (const [situation, count] of Object.entries(counts)) {
                expect(count, situation).to.be.greaterThan(20);
            }
        });
    });
});
