import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const breakAttempt = (harness: DispatchHarness, requestKey: string): string => {
    const { attemptId, instanceId } = harness.lastAttempt(requestKey);
    const reason = "connection: reset";
    harness.send({ type: "attempt-failed", attemptId, failure: "lost", reason, isConnectionBroken: true });
    return instanceId;
};

const verify = (harness: DispatchHarness, result: "running" | "gone" | "unknown"): void => {
    const { instanceId = "", askedAtMs = 0 } = harness.effectsOf("verify-server").at(-1) ?? {};
    harness.send({ type: "server-verified", instanceId, askedAtMs, result });
};

const endedServers = (harness: DispatchHarness): readonly (readonly [string | undefined, string | undefined])[] =>
    harness.effectsOf("log-decision")
        .filter(({ decision }) => decision.kind === "server-ended")
        .map(({ decision }) => [decision.instanceId, decision.reason] as const);

describe("routing.dispatch, connections that break under a request", () => {
    describe("evidence that the server has ended", () => {
        it("is a refused connection", () => {
            const harness = new DispatchHarness();
            const instanceId = breakAttempt(harness, harness.arrive());
            verify(harness, "gone");
            expect(endedServers(harness)).to.deep.equal([[instanceId, "connection-refused"]]);
        });

        it("is a later start under the same id, also if that answers first", () => {
            const harness = new DispatchHarness();
            const instanceId = breakAttempt(harness, harness.arrive());
            verify(harness, "running");
            harness.register([DispatchHarness.server(instanceId, { startedAtUnixMs: 2 })]);
            expect(endedServers(harness)).to.deep.equal([[instanceId, "started-again"]]);
        });

        it("is the removed registration of a server that does not answer", () => {
            const harness = new DispatchHarness();
            const instanceId = breakAttempt(harness, harness.arrive());
            verify(harness, "unknown");
            harness.send({ type: "servers-changed", changes: [{ offset: 2, instanceId, server: undefined }] });
            expect(endedServers(harness)).to.deep.equal([[instanceId, "registration-removed"]]);
        });
    });

    describe("no evidence that the server has ended", () => {
        // Resets and cuts break connections to servers that run.
        it("is a server that answers, or does not answer", () => {
            const harness = new DispatchHarness();
            breakAttempt(harness, harness.arrive());
            verify(harness, "running");
            breakAttempt(harness, harness.arrive());
            verify(harness, "unknown");
            expect(endedServers(harness)).to.deep.equal([]);
        });

        it("is the end of a server that was draining", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const requestKey = harness.arrive();
            harness.register([DispatchHarness.server("i-0", { isDraining: true })]);
            breakAttempt(harness, requestKey);
            expect(harness.effectsOf("verify-server")).to.deep.equal([]);
        });

        it("is the planned removal of a server that answered after the break", () => {
            const harness = new DispatchHarness();
            const instanceId = breakAttempt(harness, harness.arrive());
            verify(harness, "running");
            harness.send({ type: "servers-changed", changes: [{ offset: 2, instanceId, server: undefined }] });
            expect(endedServers(harness)).to.deep.equal([]);
        });

        // Servers that leave for other reasons later say nothing about the request.
        it("is an end long after the break", () => {
            const harness = new DispatchHarness();
            const instanceId = breakAttempt(harness, harness.arrive());
            verify(harness, "unknown");
            harness.atMs += 60_000;
            harness.send({ type: "servers-changed", changes: [{ offset: 2, instanceId, server: undefined }] });
            expect(endedServers(harness)).to.deep.equal([]);
        });
    });
});
