import { ServerMap, type ServerState } from "@marigoldstall/routing.dispatch";
import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";
import { HedgeModel } from "./hedge-model.js";

const SERVERS = 20;
const USUAL_MS = 100;
const SHARE = 0.05;

type HarnessOptions = ConstructorParameters<typeof DispatchHarness>[0];

/** Harness after requests that took 100 ms each, which earned credit for four hedges. */
const createMeasured = (opts: HarnessOptions = {}, requests = 100): DispatchHarness => {
    const harness = new DispatchHarness({ servers: SERVERS, slots: 4, hedgeShare: SHARE, ...opts });
    for (let index = 0; index < requests; index += 1) {
        const requestKey = harness.arrive();
        harness.atMs += USUAL_MS;
        harness.answer(harness.lastAttempt(requestKey).attemptId);
    }
    return harness;
};

const patchServers = (
    harness: DispatchHarness,
    patch: (server: ServerState, index: number) => Partial<ServerState>,
): void => {
    const service = harness.state.services.get("one");
    if (service === undefined) {
        throw new Error("the service is missing");
    }
    const servers = [...service.servers].map(([id, server], index) =>
        [id, { ...server, ...patch(server, index) }] as const
    );
    harness.state = {
        ...harness.state,
        services: new Map([["one", { ...service, servers: new ServerMap(new Map(servers)) }]]),
    };
};

const startSlow = (
    harness: DispatchHarness,
    fields: Parameters<DispatchHarness["arrive"]>[0] = {},
): { readonly requestKey: string; readonly firstId: string; readonly firstInstanceId: string; } => {
    const requestKey = harness.arrive(fields);
    const { attemptId, instanceId } = harness.lastAttempt(requestKey);
    return { requestKey, firstId: attemptId, firstInstanceId: instanceId };
};

const resultsOf = (harness: DispatchHarness): readonly (string | undefined)[] =>
    harness.effectsOf("log-decision").filter(({ decision }) => decision.kind === "hedge-ended").map(({ decision }) =>
        decision.reason
    );

const countRelayed = (harness: DispatchHarness, requestKey: string): number =>
    harness.effectsOf("relay-response").filter(effect => effect.requestKey === requestKey).length;

describe("routing.dispatch, hedges within a share of the requests", () => {
    // A deployment that does not set the option is served as before.
    describe("with a share of 0", () => {
        it("decides as without the setting and keeps no durations", () => {
            const runs = [undefined, 0].map(hedgeShare =>
                new HedgeModel({
                    seed: 0.4,
                    hedgeShare,
                    requests: 400,
                    perSecond: 100,
                    slowness: server => server === 3 ? 6 : 1,
                }).run()
            );
            const [unset, zero] = runs;
            expect(zero?.sends).to.deep.equal(unset?.sends);
            expect(zero?.count("hedge")).to.be.greaterThan(0);
            const hedging = zero?.harness.state.services.get("one")?.hedging;
            expect(hedging).to.include({ credit: 0 });
            expect(hedging?.profiles.size).to.equal(0);
            expect(hedging?.recentAnswers).to.deep.equal([]);
        });
    });

    describe("a request that takes longer than most of its kind", () => {
        it("is sent to a second server, once", () => {
            const harness = createMeasured({ route: { maxAttempts: 5 } });
            const { requestKey, firstInstanceId } = startSlow(harness);
            harness.advance(USUAL_MS);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            harness.advance(USUAL_MS);
            expect(harness.attemptsOf(requestKey).length).to.equal(2);
            expect(harness.lastAttempt(requestKey).instanceId).not.to.equal(firstInstanceId);
            harness.advance(5 * USUAL_MS);
            expect(harness.attemptsOf(requestKey).length).to.equal(2);
        });

        it("gets the response of the hedge if that is first, and the other attempt is cancelled", () => {
            const harness = createMeasured();
            const { requestKey, firstId } = startSlow(harness);
            harness.advance(2 * USUAL_MS);
            const hedgeId = harness.lastAttempt(requestKey).attemptId;
            harness.answer(hedgeId);
            expect(harness.effectsOf("relay-response").at(-1)).to.include({ requestKey, attemptId: hedgeId });
            expect(harness.effectsOf("cancel-attempt").map(effect => effect.attemptId)).to.deep.equal([firstId]);
            expect(resultsOf(harness)).to.deep.equal(["won"]);
        });

        it("gets the response of the first attempt if that is first, and the hedge is cancelled", () => {
            const harness = createMeasured();
            const { requestKey, firstId } = startSlow(harness);
            harness.advance(2 * USUAL_MS);
            const hedgeId = harness.lastAttempt(requestKey).attemptId;
            harness.answer(firstId);
            expect(harness.effectsOf("relay-response").at(-1)).to.include({ requestKey, attemptId: firstId });
            expect(harness.effectsOf("cancel-attempt").map(effect => effect.attemptId)).to.deep.equal([hedgeId]);
            expect(resultsOf(harness)).to.deep.equal(["lost"]);
        });

        it("waits for the first attempt if the hedge fails, and for the hedge if the first one does", () => {
            for (const failing of ["hedge", "first"] as const) {
                const harness = createMeasured();
                const { requestKey, firstId } = startSlow(harness);
                harness.advance(2 * USUAL_MS);
                const hedgeId = harness.lastAttempt(requestKey).attemptId;
                const [failingId, otherId] = failing === "hedge" ? [hedgeId, firstId] : [firstId, hedgeId];
                harness.fail(failingId, "lost");
                expect(harness.rejectionOf(requestKey), failing).to.equal(undefined);
                harness.answer(otherId);
                expect(countRelayed(harness, requestKey), failing).to.equal(1);
                expect(resultsOf(harness), failing).to.deep.equal([failing === "hedge" ? "failed" : "won"]);
            }
        });

        it("has its hedge cancelled when the caller leaves", () => {
            const harness = createMeasured();
            const { requestKey } = startSlow(harness);
            harness.advance(2 * USUAL_MS);
            harness.send({ type: "caller-left", requestKey });
            expect(harness.effectsOf("cancel-attempt").length).to.equal(2);
            expect(resultsOf(harness)).to.deep.equal(["cancelled"]);
        });
    });

    // A caller must get one response, whatever servers and links do with the second attempt.
    describe("more than one response to a request", () => {
        const hedge = (): {
            readonly harness: DispatchHarness;
            readonly requestKey: string;
            readonly ids: string[];
        } => {
            const harness = createMeasured();
            const { requestKey, firstId } = startSlow(harness);
            harness.advance(2 * USUAL_MS);
            return { harness, requestKey, ids: [firstId, harness.lastAttempt(requestKey).attemptId] };
        };
        const expectOneResponse = (harness: DispatchHarness, requestKey: string, discarded: number): void => {
            expect(countRelayed(harness, requestKey)).to.equal(1);
            expect(harness.effectsOf("discard-response").length).to.equal(discarded);
            expect(harness.state.requests.size).to.equal(0);
            expect(harness.state.requestKeysByAttempt.size).to.equal(0);
            const servers = [...harness.state.services.get("one")?.servers.values() ?? []];
            expect(servers.every(({ ownInFlight }) => ownInFlight === 0)).to.equal(true);
        };

        it("is discarded if a server answers twice", () => {
            const { harness, requestKey, ids: [, hedgeId = ""] } = hedge();
            harness.answer(hedgeId);
            harness.answer(hedgeId);
            expectOneResponse(harness, requestKey, 1);
        });

        it("is discarded if both attempts are answered at the same moment", () => {
            const { harness, requestKey, ids } = hedge();
            for (const attemptId of ids) {
                harness.answer(attemptId);
            }
            expectOneResponse(harness, requestKey, 1);
        });

        it("is discarded if the cancellation was lost and the server answers later", () => {
            const { harness, requestKey, ids: [firstId = "", hedgeId = ""] } = hedge();
            harness.answer(hedgeId);
            harness.advance(5 * USUAL_MS);
            harness.answer(firstId);
            expectOneResponse(harness, requestKey, 1);
            expect(resultsOf(harness)).to.deep.equal(["won"]);
        });
    });

    describe("no hedge is sent", () => {
        const expectNone = (harness: DispatchHarness, fields: Parameters<typeof startSlow>[1] = {}): void => {
            const { requestKey } = startSlow(harness, fields);
            harness.advance(8 * USUAL_MS);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
        };

        it("for a request that must not run twice", () => {
            expectNone(createMeasured({ route: { isIdempotent: false } }));
        });

        it("for a route that allows one attempt", () => {
            expectNone(createMeasured({ route: { maxAttempts: 1 } }));
        });

        it("before enough durations of the route were measured", () => {
            expectNone(createMeasured({ hedgeShare: 1 }, 10));
        });

        it("before the requests have earned one", () => {
            expectNone(createMeasured({ hedgeShare: 0.01 }, 90));
        });

        it("without retry budget", () => {
            expectNone(createMeasured({ budgetExtra: 0, budgetRatio: 0 }));
        });

        it("if less time is left than another server needs", () => {
            expectNone(createMeasured(), { deadlineMs: 2 * USUAL_MS });
        });

        // The request may end the second server as well.
        it("for a request under which a server ended", () => {
            const harness = createMeasured();
            const fingerprint = "deadly";
            const crashes = [{ instanceId: "other", startedAtUnixMs: 1, atMs: harness.atMs - 100 }];
            harness.send({ type: "suspects-learned", suspects: [{ fingerprint, crashes, completedAtMs: -Infinity }] });
            expectNone(harness, { fingerprint });
        });

        it("for a request under which a connection broke, until the server is known to run", () => {
            const harness = createMeasured({ route: { maxAttempts: 3 } });
            const { requestKey, firstId } = startSlow(harness, { fingerprint: "deadly" });
            const event = { type: "attempt-failed", attemptId: firstId, failure: "lost", reason: "reset" } as const;
            harness.send({ ...event, isConnectionBroken: true });
            harness.advance(8 * USUAL_MS);
            expect(harness.attemptsOf(requestKey).length).to.equal(2);
        });

        for (
            const [description, fields] of [
                ["is cold", { coldUntilMs: Infinity }],
                ["limits its requests", { requestLimit: { perSecond: 50, statedAtMs: 0 } }],
                ["wants nothing from this VM", { backoffUntilMs: Infinity }],
                ["is ejected", { ejectedUntilMs: Infinity }],
                ["is unhealthy", { isUnhealthy: true }],
                ["has only its last slot free", { ownInFlight: 3 }],
            ] as const
        ) {
            it(`if each other server ${description}`, () => {
                const harness = createMeasured();
                const { requestKey, firstInstanceId } = startSlow(harness);
                patchServers(harness, server => server.server.instanceId === firstInstanceId ? {} : fields);
                harness.advance(8 * USUAL_MS);
                expect(harness.attemptsOf(requestKey).length).to.equal(1);
            });
        }

        // Extra work in an overload makes all requests slower.
        it("if too few slots of the service are free, though some servers are idle", () => {
            for (const [busyServers, attempts] of [[17, 1], [10, 2]] as const) {
                const harness = createMeasured();
                const { requestKey, firstInstanceId } = startSlow(harness);
                patchServers(
                    harness,
                    (server, index) =>
                        server.server.instanceId !== firstInstanceId && index < busyServers ? { ownInFlight: 4 } : {},
                );
                harness.advance(8 * USUAL_MS);
                expect(harness.attemptsOf(requestKey).length, `${busyServers} busy`).to.equal(attempts);
            }
        });

        // Load of the fault: a dependency of all servers stalls, and each request in progress becomes slow at once.
        it("while the requests at other servers take as long", () => {
            for (const [requests, hedges] of [[1, 1], [3, 0]] as const) {
                const harness = createMeasured({ slots: 1 });
                const keys = Array.from({ length: requests }, () => harness.arrive());
                expect(new Set(keys.map(requestKey => harness.lastAttempt(requestKey).instanceId)).size).to.equal(
                    requests,
                );
                harness.advance(8 * USUAL_MS);
                const attempts = keys.map(requestKey => harness.attemptsOf(requestKey).length);
                expect(attempts.reduce((sum, count) => sum + count, 0) - requests).to.equal(hedges);
            }
        });
    });

    describe("a hedge whose server is checked first", () => {
        const check = (harness: DispatchHarness, load: { readonly inFlight: number; }): void => {
            const { attemptId } = harness.effectsOf("check-server").at(-1) ?? { attemptId: "" };
            const report = { queued: 0, slots: 4, slownessPercent: 100, ...load };
            harness.send({ type: "server-checked", attemptId, isAnswered: true, isHealthy: true, load: report });
        };
        const startCheck = (): { readonly harness: DispatchHarness; readonly requestKey: string; } => {
            const harness = createMeasured();
            const { requestKey } = startSlow(harness);
            harness.answersChecks = false;
            harness.advance(2 * USUAL_MS);
            return { harness, requestKey };
        };

        it("is sent if the server is free", () => {
            const { harness, requestKey } = startCheck();
            check(harness, { inFlight: 0 });
            expect(harness.attemptsOf(requestKey).length).to.equal(2);
        });

        it("is dropped if the first attempt is answered meanwhile", () => {
            const { harness, requestKey } = startCheck();
            harness.answer(harness.lastAttempt(requestKey).attemptId);
            check(harness, { inFlight: 0 });
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            expect(resultsOf(harness)).to.deep.equal([]);
        });

        it("is dropped if the check shows that all servers are busy", () => {
            const { harness, requestKey } = startCheck();
            patchServers(harness, () => ({ ownInFlight: 4 }));
            check(harness, { inFlight: 4 });
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            harness.answer(harness.lastAttempt(requestKey).attemptId);
            expect(countRelayed(harness, requestKey)).to.equal(1);
        });

        // Otherwise the request has no attempt and would wait for its deadline.
        it("becomes a retry if the first attempt fails meanwhile, or the request ends", () => {
            for (const budgetRatio of [0.2, 0]) {
                const { harness, requestKey } = startCheck();
                const { retryBudget } = harness.state;
                harness.state = { ...harness.state, retryBudget: { ...retryBudget, ratio: budgetRatio, extra: 0 } };
                harness.fail(harness.lastAttempt(requestKey).attemptId, "lost");
                harness.answersChecks = true;
                check(harness, { inFlight: 0 });
                const isRetried = budgetRatio > 0;
                expect(harness.attemptsOf(requestKey).length).to.equal(isRetried ? 2 : 1);
                expect(harness.rejectionOf(requestKey)?.statusCode).to.equal(isRetried ? undefined : 502);
            }
        });
    });

    // What is decided is counted when it is sent. Several decisions during one preflight check exceeded the retry budget.
    describe("with a retry budget for one more attempt", () => {
        const createLimited = (): {
            readonly harness: DispatchHarness;
            readonly keys: readonly string[];
            readonly countNewChecks: () => number;
        } => {
            // A VM uses 0.8 of the budget.
            const harness = createMeasured({ slots: 1, budgetRatio: 0, budgetExtra: 1.25 });
            const keys = [harness.arrive(), harness.arrive()];
            harness.answersChecks = false;
            harness.atMs += 20;
            const countChecks = (): number => harness.effectsOf("check-server").length;
            const before = countChecks();
            return { harness, keys, countNewChecks: () => countChecks() - before };
        };

        it("retries one of two requests that fail at the same moment", () => {
            const { harness, keys, countNewChecks } = createLimited();
            for (const requestKey of keys) {
                harness.fail(harness.lastAttempt(requestKey).attemptId, "lost");
            }
            expect(countNewChecks()).to.equal(1);
            expect(keys.map(requestKey => harness.rejectionOf(requestKey)?.statusCode)).to.deep.equal([undefined, 502]);
        });

        it("does not retry another request while the server of a hedge is checked", () => {
            const { harness, keys: [slow = "", other = ""], countNewChecks } = createLimited();
            harness.answer(harness.lastAttempt(other).attemptId);
            harness.advance(2 * USUAL_MS);
            expect(countNewChecks()).to.equal(1);
            expect(harness.attemptsOf(slow).length).to.equal(1);
            harness.answersChecks = true;
            const failing = harness.arrive();
            harness.fail(harness.lastAttempt(failing).attemptId, "lost");
            expect(harness.rejectionOf(failing)?.statusCode).to.equal(502);
        });
    });

    describe("on a member that asks its hub for loads", () => {
        // By loads from before the first send, the hedge goes to a server that others have filled since.
        it("asks for the loads first, and hedges without an answer if the hub is silent", () => {
            const harness = createMeasured();
            const { requestKey } = startSlow(harness);
            harness.send({ type: "load-source-changed", loadQueryIntervalMs: 10 });
            harness.atMs += 2 * USUAL_MS;
            harness.send({ type: "dispatch-tick", probeDueAgeMs: undefined });
            expect(harness.effectsOf("query-loads").length).to.equal(1);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            harness.advance(10);
            expect(harness.attemptsOf(requestKey).length).to.equal(2);
        });
    });
});
