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

    describe("whose registration lapses in that time", () => {
        const lapse = (harness: DispatchHarness, instanceId: string): void => {
            harness.send({ type: "servers-changed", changes: [{ offset: 2, instanceId, server: undefined }] });
        };
        const refuse = (retryAfterMs: number): { readonly harness: DispatchHarness; readonly instanceId: string; } => {
            const harness = new DispatchHarness({ servers: 1 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.answer(attemptId, refusal(retryAfterMs));
            return { harness, instanceId };
        };

        // The time went with the registration, so that 205 requests reached a server that had asked for time.
        it("get nothing until its end when they are listed again with the same start", () => {
            const { harness, instanceId } = refuse(5_000);
            lapse(harness, instanceId);
            harness.advance(500);
            harness.register([DispatchHarness.server(instanceId)]);
            const before = countSentTo(harness, instanceId);
            harness.arrive();
            harness.advance(1_000);
            expect(countSentTo(harness, instanceId)).to.equal(before);
            harness.advance(4_000);
            harness.arrive();
            expect(countSentTo(harness, instanceId)).to.be.greaterThan(before);
        });

        it("get nothing until its end after several lapses, and with another address", () => {
            const { harness, instanceId } = refuse(5_000);
            for (const address of ["a:80", "b:80", "a:80"]) {
                lapse(harness, instanceId);
                harness.advance(200);
                harness.register([DispatchHarness.server(instanceId, { address })]);
                harness.advance(200);
            }
            expect(harness.attemptsOf(harness.arrive()).length).to.equal(0);
        });

        // A listing of an earlier start comes from a store that was restored from a copy. It is no new start.
        it("get nothing until its end when they are listed with an earlier start", () => {
            const { harness, instanceId } = refuse(5_000);
            lapse(harness, instanceId);
            harness.register([DispatchHarness.server(instanceId, { startedAtUnixMs: 0 })]);
            expect(harness.attemptsOf(harness.arrive()).length).to.equal(0);
        });

        // The attempt outlives the registration, and its response found no server to which the time belongs.
        it("get nothing until its end when they ask after the lapse", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            lapse(harness, instanceId);
            harness.answer(attemptId, refusal(5_000));
            harness.register([DispatchHarness.server(instanceId)]);
            expect(harness.attemptsOf(harness.arrive()).length).to.equal(0);
        });

        it("get requests at once when they have started again", () => {
            const { harness, instanceId } = refuse(5_000);
            lapse(harness, instanceId);
            harness.register([DispatchHarness.server(instanceId, { startedAtUnixMs: 2 })]);
            expect(harness.attemptsOf(harness.arrive()).length).to.equal(1);
        });

        it("are kept in a bounded table, for a bounded time", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const ids = [...Array(5_000).keys()].map(index => `other-${index}`);
            harness.register(ids.map(instanceId => DispatchHarness.server(instanceId)));
            harness.send({
                type: "servers-changed",
                changes: ids.map(instanceId => ({ offset: 2, instanceId, server: undefined })),
            });
            expect(harness.state.formerServers.size).to.equal(4_096);
            expect(harness.state.formerServers.has("other-4999")).to.equal(true);
            harness.atMs += 300_001;
            lapse(harness, "i-0");
            expect([...harness.state.formerServers.keys()]).to.deep.equal(["i-0"]);
        });
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

describe("routing.dispatch, servers that fail and whose registrations lapse", () => {
    const failAll = (): DispatchHarness => {
        const harness = new DispatchHarness({ servers: 4, budgetExtra: 1_000 });
        for (let count = 0; count < 3; count += 1) {
            harness.send({ type: "probe-failed", instanceId: "i-0" });
        }
        return harness;
    };
    const returnWith = (harness: DispatchHarness, startedAtUnixMs: number): void => {
        harness.send({ type: "servers-changed", changes: [{ offset: 2, instanceId: "i-0", server: undefined }] });
        harness.register([DispatchHarness.server("i-0", { startedAtUnixMs })]);
    };
    const stateOf = (harness: DispatchHarness) => harness.state.services.get("one")?.servers.get("i-0");

    // An ejected server that was listed again was taken as new capacity, which goes first among equals.
    it("stay ejected and in use when they are listed again with the same start", () => {
        const harness = failAll();
        const ejectedUntilMs = stateOf(harness)?.ejectedUntilMs ?? -Infinity;
        expect(ejectedUntilMs).to.be.greaterThan(harness.atMs);
        returnWith(harness, 1);
        expect(stateOf(harness)).to.include({ ejectedUntilMs, ejections: 1, failuresInRow: 3, isUsed: true });
        expect([...Array(12)].some(() => harness.attemptsOf(harness.arrive())[0]?.instanceId === "i-0")).to.equal(
            false,
        );
    });

    it("begin anew when they have started again", () => {
        const harness = failAll();
        returnWith(harness, 2);
        expect(stateOf(harness)).to.include({ ejectedUntilMs: -Infinity, failures: 0, ejections: 0, isUsed: false });
    });
});
