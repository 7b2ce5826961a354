import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const LIMIT = { requestLimitPerSecond: 1.3 };
const NONE = { requestLimitPerSecond: undefined };

const answerNext = (harness: DispatchHarness, directives: typeof LIMIT | typeof NONE | undefined): string => {
    const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
    harness.answer(attemptId, { directives });
    return instanceId;
};

const limitOf = (harness: DispatchHarness, instanceId: string): number | undefined =>
    harness.state.services.get("one")?.servers.get(instanceId)?.requestLimit.perSecond;

const limitRecords = (harness: DispatchHarness): readonly unknown[] =>
    harness.effectsOf("log-decision")
        .filter(({ decision }) => decision.kind === "server-limit")
        .map(({ decision }) => [decision.instanceId, decision.reason, decision.inputs["limitPerSecond"]]);

describe("routing.dispatch, limits that servers state", () => {
    describe("reading a limit", () => {
        it("is logged once when it begins, changes or ends", () => {
            const harness = new DispatchHarness({ servers: 1 });
            answerNext(harness, LIMIT);
            answerNext(harness, LIMIT);
            answerNext(harness, { requestLimitPerSecond: 2 });
            answerNext(harness, NONE);
            expect(limitRecords(harness)).to.deep.equal([
                ["i-0", "stated", 1.3],
                ["i-0", "changed", 2],
                ["i-0", "ended", -1],
            ]);
        });

        it("takes a limit also from a failed attempt and from a health check", () => {
            const harness = new DispatchHarness({ servers: 2 });
            const { attemptId, instanceId } = harness.lastAttempt(harness.arrive());
            harness.send({ type: "attempt-failed", attemptId, failure: "lost", reason: "cut", directives: LIMIT });
            expect(limitOf(harness, instanceId)).to.equal(1.3);
            const other = instanceId === "i-0" ? "i-1" : "i-0";
            harness.send({
                type: "probe-answered",
                instanceId: other,
                isHealthy: true,
                load: undefined,
                directives: LIMIT,
            });
            expect(limitOf(harness, other)).to.equal(1.3);
        });

        // The response to a health check need not state the limit, and a malformed one says nothing about it.
        it("keeps a limit that a health check or a malformed header does not state", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const instanceId = answerNext(harness, LIMIT);
            harness.send({ type: "probe-answered", instanceId, isHealthy: true, load: undefined, directives: NONE });
            answerNext(harness, undefined);
            expect(limitOf(harness, instanceId)).to.equal(1.3);
        });

        // A server that starts again under its id holds and knows nothing of before.
        it("forgets a limit when the server starts again", () => {
            const harness = new DispatchHarness({ servers: 1 });
            const instanceId = answerNext(harness, LIMIT);
            harness.register([DispatchHarness.server(instanceId, { startedAtUnixMs: 2 })]);
            expect(limitOf(harness, instanceId)).to.equal(undefined);
        });
    });
});
