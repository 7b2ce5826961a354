import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

describe("routing.dispatch, end of requests and servers", () => {
    describe("end of a request", () => {
        it("responds at the route's timeout and cancels attempts in progress", () => {
            const harness = new DispatchHarness({ route: { timeoutMs: 700 } });
            const requestKey = harness.arrive();
            harness.advance(710);
            expect(harness.rejectionOf(requestKey)?.statusCode).to.equal(504);
            expect(harness.effectsOf("cancel-attempt").length).to.be.greaterThan(0);
        });

        // Work for a caller that has left takes slots from other requests.
        it("cancels the idempotent requests of a caller that left, and drops waiting ones", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const keys = [harness.arrive(), harness.arrive(), harness.arrive(), harness.arrive()];
            for (const requestKey of keys.reverse()) {
                harness.send({ type: "caller-left", requestKey });
            }
            expect(harness.effectsOf("cancel-attempt").length).to.equal(2);
            expect(harness.state.requests.size).to.equal(0);
            expect(harness.effectsOf("reject-request")).to.deep.equal([]);
        });

        it("lets a sent non-idempotent request finish when its caller leaves, and drops its response", () => {
            const harness = new DispatchHarness({ route: { isIdempotent: false } });
            const requestKey = harness.arrive();
            harness.send({ type: "caller-left", requestKey });
            expect(harness.effectsOf("cancel-attempt")).to.deep.equal([]);
            harness.answer(harness.lastAttempt(requestKey).attemptId);
            expect(harness.effectsOf("relay-response")).to.deep.equal([]);
            expect(harness.state.requests.size).to.equal(0);
        });

        it("removes all state of ended requests", () => {
            const harness = new DispatchHarness();
            for (let index = 0; index < 20; index += 1) {
                harness.answer(harness.lastAttempt(harness.arrive()).attemptId);
            }
            expect(harness.state.requestKeysByAttempt.size).to.equal(0);
            const services = [...harness.state.services.values()];
            expect(services.every(service => service.running.size === 0)).to.equal(true);
            const servers = services.flatMap(service => [...service.servers.values()]);
            expect(servers.every(server => server.ownInFlight === 0)).to.equal(true);
        });
    });

    // Callers send a request again after these statuses. A server that had run it answered 503, and the order ran twice
    // (review/2).
    describe("a response whose status promises that the request has not run", () => {
        for (const statusCode of [408, 421, 429, 503]) {
            it(`becomes a 502 if the status is ${statusCode} and a non-idempotent request may have run`, () => {
                const harness = new DispatchHarness({ route: { isIdempotent: false } });
                const requestKey = harness.arrive();
                harness.answer(harness.lastAttempt(requestKey).attemptId, { statusCode });
                expect(harness.effectsOf("relay-response")).to.deep.equal([]);
                expect(harness.effectsOf("discard-response").length).to.equal(1);
                expect(harness.rejectionOf(requestKey)).to.include({ statusCode: 502, retryAfterMs: undefined });
                expect(harness.state.requests.size).to.equal(0);
            });
        }

        it("is relayed to the caller of an idempotent request", () => {
            const harness = new DispatchHarness({ route: { maxAttempts: 1 } });
            harness.answer(harness.lastAttempt(harness.arrive()).attemptId, { statusCode: 503 });
            expect(harness.effectsOf("relay-response").length).to.equal(1);
        });

        // One function decides what a status may promise. All orders of two attempts and their ends are tried.
        it("never leaves for a non-idempotent request that may have run", () => {
            type End = readonly [string, (harness: DispatchHarness, attemptId: string) => boolean];
            const answers = [200, 404, 408, 421, 429, 500, 502, 503, 504].flatMap((statusCode): readonly End[] => [
                [`${statusCode}`, (harness, id) => {
                    harness.answer(id, { statusCode });
                    return true;
                }],
                [`${statusCode} not run`, (harness, id) => {
                    harness.answer(id, { statusCode, notRun: true });
                    return false;
                }],
            ]);
            const ends: readonly End[] = [
                ...answers,
                ["unsent", (harness, id) => {
                    harness.fail(id, "unsent");
                    return false;
                }],
                ["lost", (harness, id) => {
                    harness.fail(id, "lost");
                    return true;
                }],
            ];
            for (const [firstName, endFirst] of ends) {
                for (const [secondName, endSecond] of ends) {
                    const harness = new DispatchHarness({ route: { isIdempotent: false } });
                    const requestKey = harness.arrive();
                    const first = harness.lastAttempt(requestKey);
                    let mayHaveRun = endFirst(harness, first.attemptId);
                    const second = harness.lastAttempt(requestKey);
                    const retry = second === first ? undefined : second;
                    if (retry !== undefined) {
                        mayHaveRun = endSecond(harness, retry.attemptId) || mayHaveRun;
                    }
                    harness.advance(5_000);
                    const relayed = harness.effectsOf("relay-response").map(({ attemptId }) =>
                        attemptId === first.attemptId ? firstName : secondName
                    );
                    const statuses = [
                        ...relayed.map(name => parseInt(name, 10)),
                        ...harness.effectsOf("reject-request").map(({ statusCode }) => statusCode),
                    ];
                    const label = `${firstName}, then ${secondName}`;
                    expect(statuses.length, label).to.equal(1);
                    const promises = statuses.some(statusCode => [408, 421, 429, 503].includes(statusCode));
                    expect(promises && mayHaveRun, label).to.equal(false);
                }
            }
        });
    });

    // Only the end of the connection delimits a response without a length. Relayed, it took the answers of all later
    // requests of its connection with it, which had been sent to servers already.
    describe("a response that cuts later requests of its connection", () => {
        it("is replaced by another attempt", () => {
            const harness = new DispatchHarness();
            const requestKey = harness.arrive();
            const first = harness.lastAttempt(requestKey);
            harness.answer(first.attemptId, { cutsOtherRequests: true });
            expect(harness.effectsOf("relay-response")).to.deep.equal([]);
            harness.answer(harness.lastAttempt(requestKey).attemptId);
            expect(harness.effectsOf("relay-response").length).to.equal(1);
            expect(harness.effectsOf("discard-response").map(effect => effect.attemptId)).to.deep.equal([
                first.attemptId,
            ]);
        });

        it("becomes a 502 after the last attempt", () => {
            const harness = new DispatchHarness({ route: { maxAttempts: 1 } });
            const requestKey = harness.arrive();
            harness.answer(harness.lastAttempt(requestKey).attemptId, { cutsOtherRequests: true });
            expect(harness.rejectionOf(requestKey)?.statusCode).to.equal(502);
            expect(harness.state.requests.size).to.equal(0);
        });

        it("is relayed if the request must not run again", () => {
            const harness = new DispatchHarness({ route: { isIdempotent: false } });
            harness.answer(harness.lastAttempt(harness.arrive()).attemptId, { cutsOtherRequests: true });
            expect(harness.effectsOf("relay-response").length).to.equal(1);
        });
    });

    describe("registrations", () => {
        it("treats a new process under a known id as a new server", () => {
            const harness = new DispatchHarness({ servers: 1 });
            harness.register([DispatchHarness.server("i-0", { startedAtUnixMs: 2, address: "new:80" })]);
            expect(harness.effectsOf("close-connections").map(effect => effect.instanceId)).to.deep.equal(["i-0"]);
            expect(harness.lastAttempt(harness.arrive()).address).to.equal("new:80");
        });
    });

    // Requests that waited for a server when the grace period ended had their connection closed without an answer.
    describe("at the end of the process", () => {
        it("rejects the requests that wait, as not run, and leaves those alone that a server is running", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const keys = [harness.arrive(), harness.arrive(), harness.arrive()];
            const waiting = keys.filter(requestKey => harness.attemptsOf(requestKey).length === 0);
            expect(waiting.length).to.equal(1);
            harness.send({ type: "process-ending" });
            expect(keys.map(requestKey => harness.rejectionOf(requestKey)?.statusCode)).to.deep.equal(
                keys.map(requestKey => waiting.includes(requestKey) ? 503 : undefined),
            );
        });
    });

    // Requests on kept connections that came late in the grace period were sent to a server, and cut without an answer
    // when the process ended.
    describe("while the process stops", () => {
        const GRACE_MS = 5_800;
        const createStopping = (remainingMs: number): DispatchHarness => {
            const harness = new DispatchHarness({ route: { isIdempotent: false } });
            harness.send({ type: "process-stopping", endsAtMs: harness.atMs + remainingMs });
            return harness;
        };

        it("sends a request that ends in time", () => {
            const harness = createStopping(GRACE_MS);
            expect(harness.attemptsOf(harness.arrive()).length).to.equal(1);
        });

        it("rejects a request at once that may not end in time, as not run", () => {
            const harness = createStopping(700);
            const requestKey = harness.arrive();
            expect(harness.attemptsOf(requestKey).length).to.equal(0);
            expect(harness.rejectionOf(requestKey)).to.include({ statusCode: 503, reason: "process-stopping" });
        });

        it("sends a request whose deadline passes before the end", () => {
            const harness = createStopping(700);
            expect(harness.attemptsOf(harness.arrive({ deadlineMs: 500 })).length).to.equal(1);
        });

        it("rejects a request that waited for a server until it may not end in time", () => {
            const harness = new DispatchHarness({ servers: 1, slots: 1 });
            harness.arrive({ deadlineMs: 5_000 });
            const requestKey = harness.arrive();
            harness.send({ type: "process-stopping", endsAtMs: harness.atMs + 1_100 });
            expect(harness.rejectionOf(requestKey)).to.equal(undefined);
            harness.advance(200);
            expect(harness.rejectionOf(requestKey)?.reason).to.equal("process-stopping");
        });

        it("lets the server stop its work in time for the response to leave the process", () => {
            const harness = createStopping(1_200);
            const requestKey = harness.arrive();
            expect(harness.lastAttempt(requestKey).deadlineAtMs).to.equal(harness.atMs + 1_100);
        });
    });

    // A suspended VM's clock stands still. Without this, it would send a request after its caller's deadline, and by
    // load reports from before.
    describe("after the VM was suspended", () => {
        it("rejects unsent requests whose deadline has passed, as not run, and sends the others", () => {
            const harness = new DispatchHarness();
            for (const instanceId of ["i-0", "i-1", "i-2", "i-3"]) {
                harness.reportLoad(instanceId, { inFlight: 2 });
            }
            const overdue = harness.arrive({ deadlineMs: 1_200 });
            const timely = harness.arrive({ deadlineMs: 1_200 });
            harness.state = {
                ...harness.state,
                requests: new Map([...harness.state.requests].map(([key, request]) => [
                    key,
                    key === timely ? { ...request, deadlineAtMs: harness.atMs + 9_000 } : request,
                ])),
            };
            harness.send({ type: "resumed", uncountedMs: 4_000 });
            expect(harness.rejectionOf(overdue)?.statusCode).to.equal(503);
            expect(harness.rejectionOf(timely)).to.equal(undefined);
        });

        it("leaves a request alone that a server may be running", () => {
            const harness = new DispatchHarness();
            const requestKey = harness.arrive();
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            harness.send({ type: "resumed", uncountedMs: 4_000 });
            expect(harness.rejectionOf(requestKey)).to.equal(undefined);
        });

        it("checks a server before the next request, however fresh its load report seems", () => {
            const harness = new DispatchHarness({ servers: 1 });
            harness.send({ type: "resumed", uncountedMs: 4_000 });
            harness.answersChecks = false;
            harness.arrive();
            expect(harness.effectsOf("check-server").length).to.equal(1);
        });
    });
});
