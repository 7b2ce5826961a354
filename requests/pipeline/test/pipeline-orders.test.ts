import { expect } from "chai";
import { PipelineSearch } from "./pipeline-search.js";

const LIMIT_MS = 60_000;
const MIN_STATES = 10_000;
const BOOLEANS = [false, true] as const;
const KINDS = BOOLEANS.flatMap(isIdempotent =>
    BOOLEANS.flatMap(isFramed => BOOLEANS.map(isLastRequest => ({ isIdempotent, isFramed, isLastRequest })))
);
const KEPT_KINDS = KINDS.filter(({ isLastRequest }) => !isLastRequest);

describe("requests.pipeline, in all orders of the events", () => {
    // Requests that had been passed on lost their responses in orders of stops, responses and further requests that no
    // test had (review/6, review/8).
    it("gives each request that is passed on its response, in the order of the requests", () => {
        let states = 0;
        for (const first of KEPT_KINDS) {
            for (const second of KINDS) {
                for (const third of KINDS) {
                    const search = new PipelineSearch([first, second, third]);
                    search.run();
                    states += search.visited.size;
                    expect([...search.problems], JSON.stringify([first, second, third])).to.deep.equal([]);
                }
            }
        }
        expect(states).to.be.greaterThan(MIN_STATES);
    }).timeout(LIMIT_MS);
});
