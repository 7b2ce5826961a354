import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const LATENCY_TARGET_MS = 2_000;
const WORK_MS = 140;

// Load pattern of a large fleet: a VM sees a request of a route every few seconds, and the target says little about the
// work (luznik-osr-large: photo-pack takes 139 ms of a target of 2,069 ms).
describe("routing.dispatch, estimate of the work of a route", () => {
    it("is near the measured duration after five responses, however long the target is", () => {
        const harness = new DispatchHarness({ route: { latencyTargetMs: LATENCY_TARGET_MS, timeoutMs: 5_000 } });
        for (let round = 0; round < 5; round += 1) {
            harness.reportLoad("i-0", {});
            const requestKey = harness.arrive({ deadlineMs: 5_000 });
            const { attemptId } = harness.lastAttempt(requestKey);
            harness.atMs += WORK_MS;
            harness.answer(attemptId);
        }
        expect(harness.state.services.get("one")?.workMs.get("check")).to.be.within(WORK_MS * 0.8, WORK_MS * 1.4);
    });
});
