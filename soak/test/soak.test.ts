import { checkInvariants, REGRESSION_SEEDS, runSoak } from "@marigoldstall-private/soak";
import { expect } from "chai";

const SECONDS = 4;
const LIMIT_MS = 90_000;

describe("soak", () => {
    describe("checkInvariants", () => {
        const outcome = {
            requestId: "1",
            isIdempotent: false,
            vmId: "vm-0",
            sentAtMs: 0,
            endedAtMs: 100,
            statusCode: 200,
            body: "answer to 1",
            connected: true,
        };
        const check = (fields: Partial<typeof outcome>, runCount: number): number =>
            checkInvariants({
                outcomes: [{ ...outcome, ...fields }],
                runs: new Map(runCount === 0 ? [] : [["1", Array<number>(runCount).fill(1)]]),
                runsAfterDrain: [],
                requestsCutByStop: [],
                vmFaults: [],
            }).length;

        // Guards against a soak test that passes because its checks detect nothing.
        it("detects repeated runs, false rejections, wrong bodies, rejected valid requests and late responses", () => {
            expect(check({}, 1)).to.equal(0);
            expect(check({}, 2)).to.equal(1);
            expect(check({ statusCode: 503, body: "" }, 1)).to.equal(1);
            expect(check({ body: "answer to 2" }, 1)).to.equal(1);
            expect(check({ statusCode: 404, body: "" }, 0)).to.equal(1);
            expect(check({ endedAtMs: 5_000 }, 1)).to.equal(1);
        });
    });

    describe("runSoak", () => {
        const seeds = [{ seed: 20_261_204, cause: "the default seed of CI" }, ...REGRESSION_SEEDS];
        for (const { seed, cause } of seeds) {
            it(`violates no guarantee with seed ${seed} (${cause})`, async () => {
                const result = await runSoak({ seed, durationMs: SECONDS * 1_000 });
                expect(result.violations, result.directory).to.deep.equal([]);
                expect(result.requestCount).to.be.greaterThan(50);
            }).timeout(LIMIT_MS);
        }
    });
});
