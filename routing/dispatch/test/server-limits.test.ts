import { listLimits } from "@marigoldstall/routing.dispatch";
import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const LIMIT = { requestLimitPerSecond: 1.3 };
const NONE = { requestLimitPerSecond: undefined };

const answerNext = (harness: DispatchHarness, directives: typeof LIMIT | typeof NONE | undefined): string => {
    const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
    harness.answer(attemptId, { directives });
    return instanceId;
};

const limitOf = (harness: DispatchHarness, instanceId: string): number | undefined =>
    harness.state.services.get("one")?.servers.get(instanceId)?.requestLimit.perSecond;

const limitRecords = (harness: DispatchHarness): readonly unknown[] =>
    harness.effectsOf("log-decision")
        .filter(({ decision }) => decision.kind === "server-limit")
        .map(({ decision }) => [decision.instanceId, decision.reason, decision.inputs["limitPerSecond"]]);

describe("routing.dispatch, limits that servers state", () => {
    describe("reading a limit", () => {
        it("is logged once when it begins, changes or ends", () => {
            const harness = new DispatchHarness({ servers: 1 });
            answerNext(harness, LIMIT);
            answerNext(harness, LIMIT);
            answerNext(harness, { requestLimitPerSecond: 2 });
            answerNext(harness, NONE);
            expect(limitRecords(harness)).to.deep.equal([
                ["i-0", "stated", 1.3],
                ["i-0", "changed", 2],
                ["i-0", "ended", -1],
            ]);
        });

        it("takes a limit also from a failed attempt and from a health check", () => {
            const harness = new DispatchHarness({ servers: 2 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.send({ type: "attempt-failed", attemptId, failure: "lost", reason: "cut", directives: LIMIT });
            expect(limitOf(harness, instanceId)).to.equal(1.3);
            const other = instanceId === "i-0" ? "i-1" : "i-0";
            harness.send({
                type: "probe-answered",
                instanceId: other,
                isHealthy: true,
                load: undefined,
                directives: LIMIT,
            });
            expect(limitOf(harness, other)).to.equal(1.3);
        });

        // The response to a health check need not state the limit, and a malformed one says nothing about it.
        it("keeps a limit that a health check or a malformed header does not state", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const instanceId = answerNext(harness, LIMIT);
            harness.send({ type: "probe-answered", instanceId, isHealthy: true, load: undefined, directives: NONE });
            answerNext(harness, undefined);
            expect(limitOf(harness, instanceId)).to.equal(1.3);
        });

        // After a lapse of all registrations, every VM sent requests as if no server had a limit, until one answered.
        it("keeps a limit when the registration lapses and comes back with the same start", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const instanceId = answerNext(harness, LIMIT);
            const lapse = { offset: 2, instanceId, server: undefined };
            harness.send({ type: "servers-changed", changes: [lapse] });
            harness.advance(2_000);
            harness.register([DispatchHarness.server(instanceId)]);
            expect(limitOf(harness, instanceId)).to.equal(1.3);
            expect(listLimits(harness.state, harness.atMs)[0]?.ageMs).to.equal(2_000);
            harness.send({ type: "servers-changed", changes: [lapse] });
            harness.register([DispatchHarness.server(instanceId, { startedAtUnixMs: 2 })]);
            expect(limitOf(harness, instanceId)).to.equal(undefined);
        });

        it("takes a limit from a response that arrives after the registration lapsed", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.send({ type: "servers-changed", changes: [{ offset: 2, instanceId, server: undefined }] });
            harness.answer(attemptId, { directives: LIMIT });
            harness.register([DispatchHarness.server(instanceId)]);
            expect(limitOf(harness, instanceId)).to.equal(1.3);
        });

        // A server that starts again under its id holds and knows nothing of before.
        it("forgets a limit when the server starts again", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const instanceId = answerNext(harness, LIMIT);
            harness.register([DispatchHarness.server(instanceId, { startedAtUnixMs: 2 })]);
            expect(limitOf(harness, instanceId)).to.equal(undefined);
        });
    });

    describe("sending to a limited server", () => {
        const createAsking = (servers: number): DispatchHarness => {
            const harness = new DispatchHarness({ servers });
            harness.grantsPermits = false;
            return harness;
        };
        const limit = (harness: DispatchHarness, instanceId: string, perSecond: number): void => {
            harness.send({
                type: "limits-learned",
                limits: [{ instanceId, startedAtUnixMs: 1, perSecond, statedAtMs: harness.atMs }],
            });
        };
        const limitAll = (harness: DispatchHarness, perSecond: number): void => {
            for (const instanceId of harness.state.servicesByInstance.keys()) {
                limit(harness, instanceId, perSecond);
            }
        };
        const lastQuery = (harness: DispatchHarness): { readonly attemptId: string; readonly instanceId: string; } => {
            const query = harness.effectsOf("request-permit").at(-1);
            if (query === undefined) {
                throw new Error("no permit was asked for");
            }
            return { attemptId: query.attemptId, instanceId: query.instanceId };
        };
        const answerQuery = (harness: DispatchHarness, isGranted: boolean, retryAfterMs = 400): void => {
            harness.send({ type: "permit-answered", ...lastQuery(harness), isGranted, retryAfterMs });
        };

        it("waits for a permit and sends no preflight check", () => {
            const harness = createAsking(1);
            limitAll(harness, 1);
            harness.atMs += 50;
            const requestKey = harness.arrive();
            expect(harness.attemptsOf(requestKey).length).to.equal(0);
            expect(harness.effectsOf("check-server").length).to.equal(0);
            answerQuery(harness, true);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
        });

        it("takes another server at once when the permit is refused", () => {
            const harness = createAsking(2);
            limitAll(harness, 1);
            const requestKey = harness.arrive();
            const refused = lastQuery(harness).instanceId;
            answerQuery(harness, false);
            expect(lastQuery(harness).instanceId).not.to.equal(refused);
            answerQuery(harness, true);
            expect(harness.lastAttempt(requestKey).instanceId).not.to.equal(refused);
        });

        it("lets a request wait until the limit leaves room, and leaves the server alone until then", () => {
            const harness = createAsking(1);
            limitAll(harness, 2);
            const requestKey = harness.arrive({ deadlineMs: 1_200 });
            answerQuery(harness, false, 300);
            harness.advance(290);
            expect(harness.effectsOf("request-permit").length).to.equal(1);
            harness.advance(100);
            expect(harness.effectsOf("request-permit").length).to.equal(2);
            answerQuery(harness, true);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
        });

        // A permit that a paused VM uses later would add to those of that time.
        it("does not use a permit that arrives late, or for an attempt that has ended", () => {
            const harness = createAsking(1);
            limitAll(harness, 1);
            const requestKey = harness.arrive();
            harness.atMs += 200;
            answerQuery(harness, true);
            answerQuery(harness, true);
            expect(harness.attemptsOf(requestKey).length).to.equal(0);
        });

        it("stops waiting for an answer that does not come", () => {
            const harness = createAsking(2);
            limit(harness, "i-0", 1);
            harness.reportLoad("i-1", { inFlight: 2 });
            const requestKey = harness.arrive();
            expect(lastQuery(harness).instanceId).to.equal("i-0");
            harness.reportLoad("i-1", { inFlight: 0 });
            harness.advance(100);
            expect(harness.lastAttempt(requestKey).instanceId).to.equal("i-1");
        });

        // The check comes from a VM that has not heard of the limit yet.
        it("asks for a permit when the response to the preflight check states a limit", () => {
            const harness = createAsking(1);
            harness.answersChecks = false;
            harness.atMs += 50;
            const requestKey = harness.arrive();
            const check = harness.effectsOf("check-server").at(-1);
            harness.send({
                type: "server-checked",
                attemptId: check?.attemptId ?? "",
                isAnswered: true,
                isHealthy: true,
                load: undefined,
                directives: LIMIT,
            });
            expect(harness.attemptsOf(requestKey).length).to.equal(0);
            expect(harness.effectsOf("request-permit").length).to.equal(1);
        });

        it("needs a permit for a retry as well", () => {
            const harness = createAsking(2);
            limitAll(harness, 5);
            const requestKey = harness.arrive();
            answerQuery(harness, true);
            harness.fail(harness.lastAttempt(requestKey).attemptId, "lost");
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            expect(harness.effectsOf("request-permit").length).to.equal(2);
        });

        // A request that waits for a slot which the limit does not allow to use is rejected only at its deadline.
        it("rejects at once what the limits of all servers do not let through in time", () => {
            const harness = createAsking(2);
            limitAll(harness, 0.5);
            const requestKeys = [...Array(6).keys()].map(() => harness.arrive());
            for (const { attemptId, instanceId } of harness.effectsOf("request-permit")) {
                harness.send({ type: "permit-answered", attemptId, instanceId, isGranted: false, retryAfterMs: 900 });
            }
            const rejected = requestKeys.filter(requestKey => harness.rejectionOf(requestKey) !== undefined);
            expect(rejected.length).to.be.at.least(4);
        });

        it("names a bounded Retry-After when a server takes no request at all", () => {
            const harness = createAsking(1);
            limitAll(harness, 0);
            const requestKey = harness.arrive();
            answerQuery(harness, false, 2_000);
            harness.advance(20);
            expect(harness.rejectionOf(requestKey)?.retryAfterMs).to.be.at.most(30_000);
        });
    });

    describe("granting permits", () => {
        const ask = (harness: DispatchHarness, share = 1): boolean =>
            harness.send({ type: "permit-requested", attemptId: "1", instanceId: "i-0", replyHost: "vm", share })
                .some(effect => effect.type === "answer-permit" && effect.isGranted);
        const countGranted = (harness: DispatchHarness, durationMs: number, share = 1): number => {
            let count = 0;
            for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
                harness.atMs += 10;
                count += ask(harness, share) ? 1 : 0;
            }
            return count;
        };
        const createLimited = (perSecond: number): DispatchHarness => {
            const harness = new DispatchHarness({ servers: 1 });
            const statedAtMs = harness.atMs;
            const limits = [{ instanceId: "i-0", startedAtUnixMs: 1, perSecond, statedAtMs }];
            harness.send({ type: "limits-learned", limits });
            return harness;
        };

        // The VM that granted permits before may have granted one a moment ago.
        it("starts without a permit", () => {
            expect(ask(createLimited(1))).to.equal(false);
        });

        for (const perSecond of [0.3, 1, 1.3, 40]) {
            it(`grants ${perSecond} a second, and no burst after a calm time`, () => {
                const harness = createLimited(perSecond);
                ask(harness);
                expect(countGranted(harness, 20_000)).to.be.within(perSecond * 20 - 2, perSecond * 20 + 1);
                harness.atMs += 60_000;
                expect(countGranted(harness, 4_000)).to.be.at.most(perSecond * 4.25 + 1);
            });
        }

        // Found by soak seed 818091450: a server that had taken back a limit of 0.03 a second stayed unused for 39 s. After a
        // limit of 0 no request could ever show its end.
        for (const perSecond of [0, 0.03]) {
            it(`grants one permit in 10 s for a server that takes ${perSecond} a second`, () => {
                const harness = createLimited(perSecond);
                ask(harness);
                expect(countGranted(harness, 60_000)).to.be.within(5, 6);
            });
        }

        it("grants its share of the limit only", () => {
            const harness = createLimited(10);
            ask(harness, 0.25);
            expect(countGranted(harness, 20_000, 0.25)).to.be.within(48, 51);
        });

        it("grants nothing for a server that it does not know as limited", () => {
            expect(countGranted(new DispatchHarness({ servers: 1 }), 1_000)).to.equal(0);
        });
    });

    describe("telling other VMs", () => {
        const learn = (harness: DispatchHarness, perSecond: number | undefined, statedAtMs: number): void => {
            harness.send({
                type: "limits-learned",
                limits: [{ instanceId: "i-0", startedAtUnixMs: 1, perSecond, statedAtMs }],
            });
        };

        it("keeps the later of two statements, in whichever order they arrive", () => {
            const harness = new DispatchHarness({ servers: 1 });
            learn(harness, undefined, harness.atMs);
            learn(harness, 1, harness.atMs - 100);
            expect(limitOf(harness, "i-0")).to.equal(undefined);
            learn(harness, 2, harness.atMs + 1);
            expect(limitOf(harness, "i-0")).to.equal(2);
        });

        it("tells again what it knows when another VM has missed it", () => {
            const harness = new DispatchHarness({ servers: 1 });
            learn(harness, 2, harness.atMs);
            const told = harness.send({
                type: "limits-learned",
                limits: [{
                    instanceId: "i-0",
                    startedAtUnixMs: 1,
                    perSecond: undefined,
                    statedAtMs: harness.atMs - 50,
                }],
            });
            expect(told).to.deep.equal([{ type: "findings-changed", source: "response" }]);
        });

        it("ignores what was said of an earlier start of the server", () => {
            const harness = new DispatchHarness({ servers: 1 });
            harness.send({
                type: "limits-learned",
                limits: [{ instanceId: "i-0", startedAtUnixMs: 0, perSecond: 1, statedAtMs: harness.atMs }],
            });
            expect(limitOf(harness, "i-0")).to.equal(undefined);
        });

        it("lists limits, and for a while those that ended", () => {
            const harness = new DispatchHarness({ servers: 1 });
            learn(harness, 1, harness.atMs);
            expect(listLimits(harness.state, harness.atMs + 100)).to.deep.equal([
                { instanceId: "i-0", startedAtUnixMs: 1, perSecond: 1, ageMs: 100 },
            ]);
            learn(harness, undefined, harness.atMs + 1);
            expect(listLimits(harness.state, harness.atMs + 5_000).map(({ perSecond }) => perSecond))
                .to.deep.equal([undefined]);
            expect(listLimits(harness.state, harness.atMs + 20_000)).to.deep.equal([]);
        });
    });
});
