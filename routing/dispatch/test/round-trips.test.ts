import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

// Zones are 0.9 ms apart on one site and 20 ms on another, so the round trip is measured and not assumed.
describe("routing.dispatch, round trips to other zones", () => {
    const checkAfter = (harness: DispatchHarness, instanceId: string, durationMs: number): void => {
        harness.answersChecks = false;
        harness.atMs += 30;
        harness.reportLoad(instanceId, { slownessPercent: 40 });
        harness.atMs += 20;
        harness.arrive();
        const check = harness.effectsOf("check-server").at(-1);
        expect(check?.instanceId).to.equal(instanceId);
        harness.atMs += durationMs;
        const load = { inFlight: 0, queued: 0, slots: 2, slownessPercent: 40 };
        harness.send({
            type: "server-checked",
            attemptId: check?.attemptId ?? "",
            isAnswered: true,
            isHealthy: true,
            load,
        });
    };

    it("are measured by preflight checks on open connections", () => {
        const harness = new DispatchHarness();
        harness.register([DispatchHarness.server("far", { availabilityZone: "west" })]);
        harness.send({ type: "idle-connections-changed", instanceId: "far", idleConnections: 1 });
        checkAfter(harness, "far", 24);
        expect(harness.state.roundTripMsByZone.get("west")).to.equal(24);
        checkAfter(harness, "far", 40);
        expect(harness.state.roundTripMsByZone.get("west")).to.be.within(24, 25);
    });

    it("are not measured by a check that opens a connection", () => {
        const harness = new DispatchHarness({ servers: 1 });
        harness.send({ type: "idle-connections-changed", instanceId: "i-0", idleConnections: 0 });
        checkAfter(harness, "i-0", 24);
        expect(harness.state.roundTripMsByZone.size).to.equal(0);
    });
});
