import { checkInvariants, REGRESSION_SEEDS, runSoak } from "@marigoldstall-private/soak";
import { expect } from "chai";

const SECONDS = 4;
// A restore needs faults around it, and more of the time before and after them.
const SECONDS_WITH_RESTORES = 10;
const LIMIT_MS = 150_000;

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
        const noFindings = {
            runsAfterDrain: [],
            requestsCutByStop: [],
            ignoredDirectives: [],
            unusedServers: [],
            olderConfigurations: [],
            vmFaults: [],
        };
        const check = (fields: Partial<typeof outcome>, runCount: number): number =>
            checkInvariants({
                ...noFindings,
                outcomes: [{ ...outcome, ...fields }],
                runs: new Map(runCount === 0 ? [] : [["1", Array<number>(runCount).fill(1)]]),
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

        it("reports runs after a drain, unused servers and older configurations", () => {
            const violations = checkInvariants({
                ...noFindings,
                outcomes: [],
                runs: new Map(),
                runsAfterDrain: ["1"],
                unusedServers: ["vm-0 does not use i-1"],
                olderConfigurations: ["vm-0 uses a configuration older than version 2"],
            });
            expect(violations).to.have.length(3);
        });
    });

    describe("runSoak", () => {
        const ciSeeds = [
            { seed: 20_261_204, cause: "a seed of CI", hasRestores: false, hasDirectives: false },
            {
                seed: 20_261_205,
                cause: "a seed of CI with servers that ask for less",
                hasRestores: true,
                hasDirectives: true,
            },
        ];
        for (const { seed, cause, hasRestores, hasDirectives = false } of [...ciSeeds, ...REGRESSION_SEEDS]) {
            it(`violates no guarantee with seed ${seed} (${cause})`, async () => {
                const durationMs = (hasRestores ? SECONDS_WITH_RESTORES : SECONDS) * 1_000;
                const result = await runSoak({ seed, durationMs, hasRestores, hasDirectives });
                expect(result.violations, result.directory).to.deep.equal([]);
                expect(result.requestCount).to.be.greaterThan(50);
            }).timeout(LIMIT_MS);
        }
    });
});
