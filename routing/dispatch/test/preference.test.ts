import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

describe("routing.dispatch, server preferences of a VM", () => {
    // Found on luznik-osr-grown, quiet-1: all VMs chose the servers with the newest report at the same moment, and every
    // third preflight check found another VM's request there.
    it("lets VMs with the same information choose different servers", () => {
        const choices = [...Array(8).keys()].map(vm => {
            const harness = new DispatchHarness({ servers: 12, random: (vm + 1) / 9 });
            harness.atMs += 15;
            harness.reportLoad("i-5", {});
            return harness.lastAttempt(harness.arrive()).instanceId;
        });
        expect(new Set(choices).size).to.be.at.least(4);
    });

    // Connections are billed, and one to each of many servers would be used once and then exceed its idle time.
    it("reuses a few servers while others are no better", () => {
        const harness = new DispatchHarness({ servers: 12 });
        const load = { inFlight: 0, queued: 0, slots: 2, slownessPercent: 100 };
        const choices = [...Array(8).keys()].map(() => {
            harness.atMs += 500;
            const loads = [...Array(12).keys()].map(index => ({
                instanceId: `i-${index}`,
                load,
                measuredAtMs: harness.atMs,
            }));
            harness.send({ type: "loads-received", loads, sentRequests: [], failures: [], vmId: "other-vm" });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.answer(attemptId);
            return instanceId;
        });
        expect(new Set(choices).size).to.be.at.most(4);
    });
});
