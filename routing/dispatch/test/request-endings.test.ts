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

    describe("registrations", () => {
        it("treats a new process under a known id as a new server", () => {
            const harness = new DispatchHarness({ servers: 1 });
            harness.register([DispatchHarness.server("i-0", { startedAtUnixMs: 2, address: "new:80" })]);
            expect(harness.effectsOf("close-connections").map(effect => effect.instanceId)).to.deep.equal(["i-0"]);
            expect(harness.lastAttempt(harness.arrive()).address).to.equal("new:80");
        });
    });
});
