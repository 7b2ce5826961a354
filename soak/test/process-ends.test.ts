import { findUnexpectedEnds, runProcessEnds } from "@marigoldstall-private/soak";
import { expect } from "chai";

const LIMIT_MS = 150_000;

describe("soak of process ends", () => {
    describe("findUnexpectedEnds", () => {
        const end = {
            vmId: "vm-0",
            pid: 1,
            result: 0,
            sinceStartMs: 20,
            hadLoaded: true,
            requestedSignal: undefined,
            lastLogLine: "",
        } as const;
        const count = (fields: Parameters<typeof findUnexpectedEnds>[0][0], hasEarlyReloads = false): number =>
            findUnexpectedEnds([fields], { hasEarlyReloads }).length;

        // Guards against a soak that passes because it takes each end for its own.
        it("reports an end that the soak did not request, whatever its result", () => {
            expect(count(end)).to.equal(1);
            expect(count({ ...end, result: 2 })).to.equal(1);
            expect(count({ ...end, result: "SIGHUP" })).to.equal(1);
        });

        it("reports an end in another way than the requested signal allows", () => {
            expect(count({ ...end, requestedSignal: "SIGTERM" })).to.equal(0);
            expect(count({ ...end, requestedSignal: "SIGTERM", result: "SIGTERM" })).to.equal(1);
            expect(count({ ...end, requestedSignal: "SIGTERM", result: "SIGTERM", hadLoaded: false })).to.equal(0);
            expect(count({ ...end, requestedSignal: "SIGTERM", result: "SIGABRT" })).to.equal(1);
            expect(count({ ...end, requestedSignal: "SIGKILL", result: "SIGKILL" })).to.equal(0);
        });

        // Until Node.js runs the first file of a program, SIGHUP has its default action.
        it("accepts an end by SIGHUP only before the process has loaded, and only with early reloads", () => {
            expect(count({ ...end, result: "SIGHUP", hadLoaded: false })).to.equal(1);
            expect(count({ ...end, result: "SIGHUP", hadLoaded: false }, true)).to.equal(0);
            expect(count({ ...end, result: "SIGHUP" }, true)).to.equal(1);
        });
    });

    describe("runProcessEnds", () => {
        // Guards against processes that end under the faults of zilina-kociky, or report errors that they did not expect.
        it("sees no process end by itself with a seed of CI", async () => {
            const result = await runProcessEnds({ seed: 20_261_205, durationMs: 5_000 });
            expect(result.violations, result.directory).to.deep.equal([]);
            expect(result.startCount).to.be.greaterThan(13);
            expect(result.requestCount).to.be.greaterThan(100);
        }).timeout(LIMIT_MS);
    });
});
