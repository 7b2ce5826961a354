import { expect } from "chai";
import { RoutingHarness } from "./routing-harness.js";

describe("reduceRouting", () => {
    describe("how a request ends", () => {
        it("relays the first response and finishes when it is complete", () => {
            const harness = new RoutingHarness(3);
            harness.arrive("r");
            harness.respond("r.1");
            expect(harness.effectsOf("relay-attempt").map(effect => effect.attemptId)).to.deep.equal(["r.1"]);
            expect(harness.outcomes("r")).to.deep.equal([]);
            harness.complete("r.1");
            expect(harness.outcomes("r")).to.deep.equal(["completed"]);
        });

        const unknowns = [
            { name: "service", service: "nowhere", className: "check", code: "ERR_MARIGOLDSTALL_UNKNOWN_SERVICE" },
            { name: "class", service: "statusdesk", className: "none", code: "ERR_MARIGOLDSTALL_UNKNOWN_CLASS" },
        ];
        for (const { name, service, className, code } of unknowns) {
            it(`rejects a request for an unknown ${name} instead of leaving the caller without a response`, () => {
                const harness = new RoutingHarness(3);
                harness.send({
                    type: "request-arrived",
                    requestId: "r",
                    service,
                    className,
                    deadlineAtMs: 9000,
                    callerAttempt: 1,
                    bodyReplayable: true,
                });
                expect(harness.rejected("r")?.reasonCode).to.equal(code);
                expect(harness.outcomes("r")).to.deep.equal(["not-run"]);
            });
        }

        it("reports not-run when the deadline passes in the queue, instead of dropping the request", () => {
            const harness = new RoutingHarness(1);
            for (let index = 0; index < 4; index += 1) {
                harness.arrive(`r${index}`, "check", { deadlineAtMs: 3000 });
            }
            const waiting = ["r0", "r1", "r2", "r3"].filter(id => harness.started(id).length === 0);
            expect(waiting).to.not.be.empty;
            harness.tickAfter(2000);
            for (const id of waiting) {
                expect(harness.rejected(id)).to.include({ outcome: "not-run", statusCode: 504 });
                expect(harness.rejected(id)?.retryAfterMs).to.be.greaterThan(0);
            }
        });

        // A second attempt could run a crew dispatch or a payment twice.
        const nonRepeatable = [
            { failure: "connect-failed", retried: true, outcome: undefined, statusCode: undefined },
            { failure: "connection-stale", retried: true, outcome: undefined, statusCode: undefined },
            { failure: "cancel-confirmed", retried: true, outcome: undefined, statusCode: undefined },
            { failure: "reset", retried: false, outcome: "unknown", statusCode: 502 },
            { failure: "silent", retried: false, outcome: "unknown", statusCode: 504 },
            { failure: "body-cut", retried: false, outcome: "unknown", statusCode: 502 },
        ] as const;
        for (const { failure, retried, outcome, statusCode } of nonRepeatable) {
            it(`${retried ? "sends" : "never sends"} a non-repeatable request again after ${failure}`, () => {
                const harness = new RoutingHarness(3);
                harness.arrive("r", "issue");
                harness.fail("r.1", failure);
                expect(harness.started("r")).to.have.length(retried ? 2 : 1);
                expect(harness.rejected("r")?.outcome).to.equal(outcome);
                expect(harness.rejected("r")?.statusCode).to.equal(statusCode);
            });
        }

        const repeatable = ["reset", "silent", "body-cut"] as const;
        for (const failure of repeatable) {
            it(`retries a repeatable request elsewhere after ${failure}`, () => {
                const harness = new RoutingHarness(3);
                harness.arrive("r");
                harness.fail("r.1", failure);
                const addresses = harness.started("r").map(effect => effect.address);
                expect(new Set(addresses).size).to.equal(2);
                expect(harness.started("r")[1]?.attemptNumber).to.equal(2);
            });

            it(`does not retry after ${failure} once the response is being relayed, which would mix two responses`, () => {
                const harness = new RoutingHarness(3);
                harness.arrive("r");
                harness.respond("r.1");
                harness.fail("r.1", failure);
                expect(harness.started("r")).to.have.length(1);
                expect(harness.outcomes("r")).to.deep.equal(["unknown"]);
                expect(harness.rejected("r")).to.equal(undefined);
            });
        }

        it("does not retry when the caller's attempt is a retry, so that call chains do not amplify retries", () => {
            const harness = new RoutingHarness(3);
            harness.arrive("r", "check", { callerAttempt: 2 });
            expect(harness.started("r")[0]?.attemptNumber).to.equal(2);
            harness.fail("r.1", "reset");
            expect(harness.started("r")).to.have.length(1);
            expect(harness.rejected("r")?.outcome).to.equal("unknown");
        });

        it("retries a shed request elsewhere immediately and rejects it as not-run after two retries", () => {
            const harness = new RoutingHarness(5);
            harness.arrive("r", "issue");
            for (const attemptId of ["r.1", "r.2", "r.3"]) {
                harness.respond(attemptId, { notRun: true });
            }
            expect(new Set(harness.started("r").map(effect => effect.address)).size).to.equal(3);
            expect(harness.rejected("r")).to.include({ outcome: "not-run", statusCode: 503 });
        });

        it("never reports not-run when an earlier attempt may have run", () => {
            const harness = new RoutingHarness(5);
            harness.arrive("r");
            harness.fail("r.1", "reset");
            harness.respond("r.2", { notRun: true });
            harness.respond("r.3", { notRun: true });
            expect(harness.rejected("r")?.outcome).to.equal("unknown");
        });

        it("cancels a non-repeatable request at its deadline and reports not-run when this is confirmed", () => {
            const harness = new RoutingHarness(3);
            harness.arrive("r", "issue", { deadlineAtMs: 2000 });
            harness.tickAfter(1000);
            expect(harness.effectsOf("cancel-attempt")).to.have.length(1);
            expect(harness.rejected("r")).to.equal(undefined);
            harness.fail("r.1", "cancel-confirmed");
            expect(harness.rejected("r")).to.include({ outcome: "not-run", statusCode: 504 });
        });

        it("reports unknown when the cancellation at the deadline is not confirmed", () => {
            const harness = new RoutingHarness(3);
            harness.arrive("r", "issue", { deadlineAtMs: 2000 });
            harness.tickAfter(1000);
            harness.tickAfter(1000);
            expect(harness.rejected("r")).to.include({ outcome: "unknown", statusCode: 504 });
        });

        it("continues a non-repeatable request after its caller disconnects, so that its outcome is stored", () => {
            const harness = new RoutingHarness(3);
            harness.arrive("r", "issue");
            harness.send({ type: "request-cancelled", requestId: "r" });
            expect(harness.effectsOf("cancel-attempt")).to.be.empty;
            harness.respond("r.1");
            harness.complete("r.1");
            expect(harness.outcomes("r")).to.deep.equal(["completed"]);
        });
    });
});
