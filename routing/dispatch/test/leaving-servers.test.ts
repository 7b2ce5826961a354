import { listLeaving } from "@marigoldstall/routing.dispatch";
import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const LEAVING = { requestLimitPerSecond: undefined, isLeaving: true };

const isUsed = (harness: DispatchHarness, instanceId: string): boolean => {
    const requestKeys = [...Array(6).keys()].map(() => harness.arrive());
    const used = requestKeys.some(requestKey =>
        harness.attemptsOf(requestKey).some(attempt => attempt.instanceId === instanceId)
    );
    for (const requestKey of requestKeys) {
        const attempt = harness.attemptsOf(requestKey).at(-1);
        if (attempt !== undefined) {
            harness.answer(attempt.attemptId);
        }
    }
    return used;
};

const remove = (harness: DispatchHarness, instanceId: string): void => {
    harness.send({ type: "servers-changed", changes: [{ offset: 2, instanceId, server: undefined }] });
};

describe("routing.dispatch, servers that say that they are leaving", () => {
    describe("a server that says so", () => {
        // It went on getting requests for as long as the store listed it as ready.
        it("gets no requests, although its registration says that it is ready", () => {
            const harness = new DispatchHarness({ servers: 2 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.answer(attemptId, { directives: LEAVING });
            expect(isUsed(harness, instanceId)).to.equal(false);
            harness.register([DispatchHarness.server(instanceId)]);
            expect(isUsed(harness, instanceId)).to.equal(false);
        });

        for (const source of ["a refusal", "a failed attempt", "a health check", "a preflight check"] as const) {
            it(`is believed in the response to ${source}`, () => {
                const harness = new DispatchHarness({ servers: 2 });
                harness.answersChecks = source !== "a preflight check";
                harness.atMs += 50;
                const requestKey = harness.arrive();
                const check = harness.effectsOf("check-server").at(-1);
                const { attemptId, instanceId } = harness.answersChecks
                    ? harness.lastAttempt(requestKey)
                    : { attemptId: check?.attemptId ?? "", instanceId: check?.instanceId ?? "" };
                const health = { isHealthy: false, load: undefined, directives: LEAVING };
                switch (source) {
                    case "a refusal":
                        harness.answer(attemptId, { notRun: true, statusCode: 503, directives: LEAVING });
                        break;
                    case "a failed attempt":
                        harness.send({
                            type: "attempt-failed",
                            attemptId,
                            failure: "lost",
                            reason: "response-cut",
                            directives: LEAVING,
                        });
                        break;
                    case "a health check":
                        harness.send({ type: "probe-answered", instanceId, ...health });
                        break;
                    case "a preflight check":
                        harness.send({ type: "server-checked", attemptId, isAnswered: true, ...health });
                        break;
                }
                expect(harness.state.services.get("one")?.servers.get(instanceId)?.isLeaving).to.equal(true);
                harness.answersChecks = true;
                expect(isUsed(harness, instanceId)).to.equal(false);
            });
        }

        // A store that was restored, or an older view of another VM, lists the server again.
        it("gets no requests after it was removed and listed again, until it starts again", () => {
            const harness = new DispatchHarness({ servers: 2 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.answer(attemptId, { directives: LEAVING });
            remove(harness, instanceId);
            harness.register([DispatchHarness.server(instanceId)]);
            expect(isUsed(harness, instanceId)).to.equal(false);
            harness.register([DispatchHarness.server(instanceId, { startedAtUnixMs: 2 })]);
            expect(isUsed(harness, instanceId)).to.equal(true);
        });

        // The response to a request that was under way when the registration lapsed found no server to which it belongs.
        it("is believed after its registration was removed", () => {
            const harness = new DispatchHarness({ servers: 2 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            remove(harness, instanceId);
            harness.answer(attemptId, { directives: LEAVING });
            harness.register([DispatchHarness.server(instanceId)]);
            expect(isUsed(harness, instanceId)).to.equal(false);
            expect(listLeaving(harness.state, harness.atMs)).to.deep.equal([{ instanceId, startedAtUnixMs: 1 }]);
        });

        it("is known before its registration is", () => {
            const harness = new DispatchHarness({ servers: 1 });
            harness.send({ type: "leaving-learned", servers: [{ instanceId: "i-9", startedAtUnixMs: 1 }] });
            harness.register([DispatchHarness.server("i-9")]);
            expect(isUsed(harness, "i-9")).to.equal(false);
        });
    });

    it("are told to other VMs, the latest ones, and kept in a bounded table", () => {
        const harness = new DispatchHarness({ servers: 1 });
        const servers = [...Array(1_000).keys()].map(index => ({ instanceId: `i-${index}`, startedAtUnixMs: 1 }));
        harness.send({ type: "leaving-learned", servers });
        expect(harness.state.leavingStarts.size).to.equal(512);
        expect(listLeaving(harness.state, harness.atMs).length).to.equal(64);
        expect(listLeaving(harness.state, harness.atMs).at(-1)).to.deep.equal({
            instanceId: "i-999",
            startedAtUnixMs: 1,
        });
        expect(listLeaving(harness.state, harness.atMs + 60_000)).to.deep.equal([]);
    });
});
