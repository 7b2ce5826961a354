import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

describe("routing.dispatch, preferences of a VM", () => {
    // Found on luznik-osr-grown, quiet-1: all VMs went for the servers with the newest report at the same moment, and
    // every third check before a send found another VM's request there.
    it("has VMs that see the same choose different servers", () => {
        const choices = [...Array(8).keys()].map(vm => {
            const harness = new DispatchHarness({ servers: 12, random: (vm + 1) / 9 });
            harness.atMs += 15;
            harness.tell("i-5", {});
            return harness.lastAttempt(harness.arrive()).instanceId;
        });
        expect(new Set(choices).size).to.be.at.least(4);
    });

    // A connection to each of many servers is paid for and used once before it falls idle for too long.
    it("comes back to a few servers while others are no better", () => {
        const harness = new DispatchHarness({ servers: 12 });
        const load = { inFlight: 0, queued: 0, slots: 2, slownessPercent: 100 };
        const choices = [...Array(8).keys()].map(() => {
            harness.atMs += 500;
            const loads = [...Array(12).keys()].map(index => ({
                instanceId: `i-${index}`,
                load,
                measuredAtMs: harness.atMs,
            }));
            harness.send({ type: "loads-learnt", loads, sendings: [] });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.answer(attemptId);
            return instanceId;
        });
        expect(new Set(choices).size).to.be.at.most(4);
    });
});
