import { selectClassStatus, selectNextWakeAtMs } from "@marigoldstall/routing.state";
import { expect } from "chai";
import { RoutingHarness } from "./routing-harness.js";

const statusOf = (harness: RoutingHarness, className: string) =>
    selectClassStatus(harness.state, harness.atMs).find(status => status.className === className);

describe("selectClassStatus", () => {
    it("counts requests and measures latencies of each class over the last 10 s only", () => {
        const harness = new RoutingHarness(4);
        for (let index = 0; index < 100; index += 1) {
            harness.arrive(`r${index}`);
            harness.atMs += 20;
            harness.respond(`r${index}.1`);
            harness.complete(`r${index}.1`);
        }
        const status = statusOf(harness, "check");
        expect(status).to.include({ arrived: 100, completed: 100, late: 0, rejected: 0, degraded: false });
        expect(status?.p50Ms).to.be.within(18, 22);
        expect(status?.p99Ms).to.be.within(18, 22);
        harness.atMs += 12_000;
        expect(statusOf(harness, "check")).to.include({ arrived: 0, p50Ms: undefined });
    });

    it("reports a class as degraded with the reasons when requests are late or rejected", () => {
        const harness = new RoutingHarness(1);
        harness.arrive("late");
        harness.atMs += 300;
        harness.respond("late.1");
        harness.complete("late.1");
        harness.arrive("away", "check", { deadlineAtMs: harness.atMs });
        const status = statusOf(harness, "check");
        expect(status).to.include({ late: 1, rejected: 1, degraded: true });
        expect(status?.degradedReasons).to.have.length(2);
    });

    it("counts queued requests and schedules a tick no later than their deadline", () => {
        const harness = new RoutingHarness(1);
        for (const id of ["a", "b", "c", "d"]) {
            harness.arrive(id, "check", { deadlineAtMs: harness.atMs + 5 });
        }
        expect(statusOf(harness, "check")).to.include({ queued: 2, inFlight: 2 });
        expect(selectNextWakeAtMs(harness.state)).to.be.at.most(harness.atMs + 5);
    });

    it("hedges a slow repeatable urgent request once and relays the first response only", () => {
        const harness = new RoutingHarness(4);
        for (let index = 0; index < 40; index += 1) {
            harness.runRequest(`r${index}`);
        }
        harness.arrive("slow");
        harness.tickAfter(50);
        const [first, second] = harness.started("slow");
        expect(second?.address).to.not.equal(first?.address);
        expect(second?.attemptNumber).to.equal(2);
        harness.tickAfter(50);
        expect(harness.started("slow")).to.have.length(2);
        harness.respond("slow.2");
        harness.respond("slow.1");
        expect(harness.effectsOf("cancel-attempt").map(effect => effect.attemptId)).to.deep.equal(["slow.1"]);
        harness.complete("slow.2");
        expect(harness.outcomes("slow")).to.deep.equal(["completed"]);
    });
});
