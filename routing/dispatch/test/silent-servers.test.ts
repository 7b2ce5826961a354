import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const TIMEOUT_MS = 1_200;

const failuresOf = (harness: DispatchHarness, instanceId: string): number =>
    harness.state.services.get("one")?.servers.get(instanceId)?.failures ?? 0;

const silentRecords = (harness: DispatchHarness): readonly (string | undefined)[] =>
    harness.effectsOf("log-decision")
        .filter(({ decision }) => decision.kind === "attempt-failed" && decision.reason === "silent")
        .map(({ decision }) => decision.instanceId);

/** Runs until the request has ended, while the server reports its load every 50 ms. */
const waitBeside = (harness: DispatchHarness, instanceId: string, inFlight: number): void => {
    for (let elapsedMs = 0; elapsedMs < TIMEOUT_MS; elapsedMs += 50) {
        harness.reportLoad(instanceId, { inFlight });
        harness.advance(49);
    }
};

describe("routing.dispatch, servers that do not answer requests they cannot queue", () => {
    describe("a request to such a server", () => {
        it("goes to another server if it is idempotent, and the connection of the first is closed", () => {
            const harness = new DispatchHarness({ servers: 2 });
            const requestKey = harness.arrive();
            const first = harness.lastAttempt(requestKey);
            waitBeside(harness, first.instanceId, 0);
            expect(harness.attemptsOf(requestKey).length).to.equal(2);
            const second = harness.lastAttempt(requestKey);
            expect(second.instanceId).not.to.equal(first.instanceId);
            expect(harness.rejectionOf(requestKey)?.statusCode).to.equal(504);
            expect(harness.effectsOf("cancel-attempt").map(({ attemptId }) => attemptId)).to.deep.equal([
                first.attemptId,
                second.attemptId,
            ]);
        });

        it("is answered by the other server, and the first counts as failed and its connection is closed", () => {
            const harness = new DispatchHarness({ servers: 2 });
            const requestKey = harness.arrive();
            const first = harness.lastAttempt(requestKey);
            for (let count = 0; count < 12; count += 1) {
                harness.reportLoad(first.instanceId, { inFlight: 0 });
                harness.advance(49);
            }
            harness.answer(harness.lastAttempt(requestKey).attemptId);
            expect(harness.effectsOf("relay-response").map(effect => effect.requestKey)).to.deep.equal([requestKey]);
            expect(harness.effectsOf("cancel-attempt").map(({ attemptId }) => attemptId)).to.deep.equal([
                first.attemptId,
            ]);
            expect(silentRecords(harness)).to.deep.equal([first.instanceId]);
        });

        for (const [name, deadlineMs] of [["its deadline", 700], ["the time-out of its route", undefined]] as const) {
            it(`ends with 504 at ${name} if it must not run twice, and the connection is closed`, () => {
                const harness = new DispatchHarness({ servers: 2, route: { isIdempotent: false } });
                const startedAtMs = harness.atMs;
                const requestKey = harness.arrive({ deadlineMs });
                harness.advance((deadlineMs ?? TIMEOUT_MS) - 20);
                expect(harness.rejectionOf(requestKey)).to.equal(undefined);
                harness.advance(30);
                expect(harness.rejectionOf(requestKey)).to.include({ statusCode: 504, retryAfterMs: undefined });
                expect(harness.atMs - startedAtMs).to.be.at.most((deadlineMs ?? TIMEOUT_MS) + 10);
                expect(harness.effectsOf("cancel-attempt").length).to.equal(1);
            });
        }
    });

    describe("the server", () => {
        // A server that dropped a request reports that it is idle, so it was taken for the best one again and again, and
        // each request that must not run twice ended with 504.
        it("counts as failed when it reports no request at the deadline of one that it got", () => {
            const harness = new DispatchHarness({ servers: 2, route: { isIdempotent: false } });
            const { instanceId } = harness.lastAttempt(harness.arrive());
            waitBeside(harness, instanceId, 0);
            expect(failuresOf(harness, instanceId)).to.be.greaterThan(0.9);
            expect(silentRecords(harness)).to.deep.equal([instanceId]);
            const effects = harness.effectsOf("report-failure").map(effect => effect.instanceId);
            expect(effects).to.deep.equal([instanceId]);
        });

        it("is sent nothing for a while after three of them in a row", () => {
            const harness = new DispatchHarness({ servers: 2, route: { isIdempotent: false } });
            for (let count = 0; count < 3; count += 1) {
                harness.reportLoad("i-0", { inFlight: 0 });
                harness.reportLoad("i-1", { inFlight: 2 });
                harness.arrive();
                waitBeside(harness, "i-0", 0);
            }
            expect(silentRecords(harness)).to.deep.equal(["i-0", "i-0", "i-0"]);
            // The other server is far slower now.
            harness.reportLoad("i-0", { inFlight: 0 });
            harness.reportLoad("i-1", { inFlight: 0, slownessPercent: 200 });
            expect(harness.lastAttempt(harness.arrive()).instanceId).to.equal("i-1");
        });

        // Requests take up to 7 times the mean, and a VM may be 5 times slower by turns of 150 ms.
        it("is not mistaken for silent while it reports that it is at work", () => {
            const harness = new DispatchHarness({ servers: 2, route: { isIdempotent: false } });
            const { instanceId } = harness.lastAttempt(harness.arrive());
            waitBeside(harness, instanceId, 1);
            expect(failuresOf(harness, instanceId)).to.equal(0);
            expect(silentRecords(harness)).to.deep.equal([]);
        });

        // Connecting takes up to 250 ms, and a report is older than its arrival.
        it("is not mistaken for silent by a report from soon after the request was sent", () => {
            const harness = new DispatchHarness({ servers: 2, route: { isIdempotent: false } });
            const { instanceId } = harness.lastAttempt(harness.arrive());
            harness.advance(300);
            harness.reportLoad(instanceId, { inFlight: 0 });
            harness.advance(1_000);
            expect(failuresOf(harness, instanceId)).to.equal(0);
        });

        it("is not mistaken for silent by a report of zero just before its answer", () => {
            const harness = new DispatchHarness({ servers: 2, route: { isIdempotent: false } });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.advance(900);
            harness.reportLoad(instanceId, { inFlight: 0 });
            harness.answer(attemptId);
            expect(failuresOf(harness, instanceId)).to.equal(0);
        });

        // Of a server that reports no load, only the time tells. The work is taken as 160 ms: 7 times as much on a VM that is
        // three times slower on average takes 3,360 ms.
        for (const [name, timeoutMs, count] of [["is not", 3_300, 0], ["is", 4_000, 1]] as const) {
            it(`${name} taken for silent after ${timeoutMs} ms without a load report`, () => {
                const harness = new DispatchHarness({ servers: 2, route: { isIdempotent: false, timeoutMs } });
                harness.arrive({ deadlineMs: undefined });
                harness.advance(timeoutMs + 10);
                expect(silentRecords(harness).length).to.equal(count);
            });
        }

        // Requests that wait for a silent server count as occupying it, so no further ones are sent than fit.
        it("gets no more requests from a VM than it has slots while the former ones are without an answer", () => {
            const harness = new DispatchHarness({ servers: 1, route: { isIdempotent: false } });
            const keys = [...Array(12).keys()].map(() => harness.arrive());
            for (let count = 0; count < 10; count += 1) {
                harness.reportLoad("i-0", { inFlight: 0 });
                harness.advance(20);
            }
            expect(keys.flatMap(requestKey => harness.attemptsOf(requestKey)).length).to.equal(2);
        });
    });
});
