import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const refusal = (retryAfterMs: number) => ({
    statusCode: 503,
    notRun: true,
    directives: { requestLimitPerSecond: undefined, retryAfterMs },
});

const countSentTo = (harness: DispatchHarness, instanceId: string): number =>
    harness.effectsOf("start-attempt").filter(effect => effect.instanceId === instanceId).length
    + harness.effectsOf("check-server").filter(effect => effect.instanceId === instanceId).length;

describe("routing.dispatch, servers that ask for time when they reject a request", () => {
    for (const retryAfterMs of [300, 2_000, 30_000]) {
        // A server in need got the next request of the same VM at once.
        it(`get nothing from this VM for the ${retryAfterMs} ms that they asked for`, () => {
            const harness = new DispatchHarness({ servers: 2, budgetExtra: 1_000 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.answer(attemptId, refusal(retryAfterMs));
            const before = countSentTo(harness, instanceId);
            const probes: string[] = [];
            for (let elapsedMs = 0; elapsedMs < retryAfterMs - 20; elapsedMs += 10) {
                harness.atMs += 10;
                const effects = harness.send({ type: "dispatch-tick", probeDueAgeMs: () => 0 });
                probes.push(...effects.flatMap(effect => effect.type === "probe-server" ? [effect.instanceId] : []));
                if (elapsedMs % 200 === 0) {
                    const key = harness.arrive();
                    harness.attemptsOf(key).forEach(attempt => {
                        harness.answer(attempt.attemptId);
                    });
                }
            }
            expect(countSentTo(harness, instanceId)).to.equal(before);
            expect(probes).not.to.include(instanceId);
            harness.atMs += 100;
            harness.send({ type: "dispatch-tick", probeDueAgeMs: () => 0 });
            expect(harness.effectsOf("probe-server").at(-1)?.instanceId).not.to.equal(undefined);
        });
    }

    it("are not asked for less time by a later, shorter answer", () => {
        const harness = new DispatchHarness({ servers: 1, slots: 2 });
        const attempts = [harness.arrive(), harness.arrive()].map(key => harness.lastAttempt(key));
        harness.answer(attempts[0]?.attemptId ?? "", refusal(5_000));
        harness.answer(attempts[1]?.attemptId ?? "", refusal(100));
        harness.atMs += 200;
        expect(harness.attemptsOf(harness.arrive()).length).to.equal(0);
    });

    describe("when all of them ask", () => {
        const refuseAll = (retryAfterMs: number): DispatchHarness => {
            const harness = new DispatchHarness({ servers: 2, budgetExtra: 1_000 });
            const requestKey = harness.arrive();
            harness.answer(harness.lastAttempt(requestKey).attemptId, refusal(retryAfterMs));
            harness.answer(harness.lastAttempt(requestKey).attemptId, refusal(retryAfterMs));
            return harness;
        };

        it("rejects at once what they will not take before its deadline, with a Retry-After that fits", () => {
            const harness = refuseAll(2_000);
            const requestKey = harness.arrive();
            expect(harness.rejectionOf(requestKey)?.statusCode).to.equal(503);
            expect(harness.rejectionOf(requestKey)?.retryAfterMs).to.be.within(2_000, 3_000);
        });

        it("lets a request wait that they take before its deadline", () => {
            const harness = refuseAll(300);
            const requestKey = harness.arrive();
            expect(harness.rejectionOf(requestKey)).to.equal(undefined);
            harness.advance(400);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
        });

        // Callers that return together would meet the same servers again at once.
        it("spreads the return of callers", () => {
            const harness = refuseAll(2_000);
            const delaysMs = [...Array(8).keys()].map(() => harness.rejectionOf(harness.arrive())?.retryAfterMs);
            expect(new Set(delaysMs).size).to.be.greaterThan(4);
        });
    });
});
