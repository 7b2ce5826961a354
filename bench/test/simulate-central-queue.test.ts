import { simulateCentralQueue } from "@marigoldstall-private/bench";
import { expect } from "chai";

const arrivals = (...atMs: readonly number[]) => atMs.map(arrivedAtMs => ({ arrivedAtMs, serviceTimeMs: 10 }));

describe("simulateCentralQueue", () => {
    const cases = [
        { title: "without waiting", requests: arrivals(0, 20), slotFactors: [1], latencies: [10, 10] },
        {
            title: "in order of arrival when they have to wait",
            requests: arrivals(0, 5, 6),
            slotFactors: [1],
            latencies: [10, 15, 24],
        },
        {
            title: "on two slots in parallel",
            requests: arrivals(0, 0, 0),
            slotFactors: [1, 1],
            latencies: [10, 10, 20],
        },
        {
            title: "on the fastest free slot",
            requests: arrivals(0, 20, 20),
            slotFactors: [3, 1],
            latencies: [10, 10, 30],
        },
    ];
    for (const { title, requests, slotFactors, latencies } of cases) {
        it(`runs requests ${title}`, () => {
            expect(simulateCentralQueue(requests, { slotFactors })).to.deep.equal(latencies);
        });
    }
});
