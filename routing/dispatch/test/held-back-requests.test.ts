import { listSuspects, selectHold, type SuspectRequest } from "@marigoldstall/routing.dispatch";
import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const FINGERPRINT = "deadly";
const HOLD_MS = 60_000;
const REASON = "servers-ended-under-it";

const arriveDeadly = (harness: DispatchHarness): string => harness.arrive({ fingerprint: FINGERPRINT });

/** Ends the server of a request's last attempt, with the evidence of a refused connection. */
const endServer = (harness: DispatchHarness, requestKey: string): void => {
    const { attemptId, instanceId } = harness.lastAttempt(requestKey);
    const reason = "connection: reset";
    harness.send({ type: "attempt-failed", attemptId, failure: "lost", reason, isConnectionBroken: true });
    harness.send({ type: "server-verified", instanceId, askedAtMs: harness.atMs, result: "gone" });
};

const suspect = (crashAgesMs: readonly number[], atMs: number, fingerprint = FINGERPRINT): SuspectRequest => ({
    fingerprint,
    crashes: crashAgesMs.map((ageMs, index) => ({
        instanceId: `other-${index}`,
        startedAtUnixMs: 1,
        atMs: atMs - ageMs,
    })),
    completedAtMs: -Infinity,
});

const learn = (harness: DispatchHarness, ...suspects: readonly SuspectRequest[]): void => {
    harness.send({ type: "suspects-learned", suspects });
};

describe("routing.dispatch, requests under which servers end", () => {
    describe("a request under which three servers have ended", () => {
        it("is rejected at once, as not run, with the time until it is tried again", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([300, 200, 100], harness.atMs));
            const requestKey = arriveDeadly(harness);
            expect(harness.attemptsOf(requestKey).length).to.equal(0);
            expect(harness.rejectionOf(requestKey)).to.include({ statusCode: 503, reason: REASON });
            expect(harness.rejectionOf(requestKey)?.retryAfterMs).to.equal(30_000);
        });

        it("is rejected as well while it waits for a server", () => {
            const harness = new DispatchHarness({ servers: 1, slots: 1 });
            harness.arrive();
            const requestKey = arriveDeadly(harness);
            expect(harness.rejectionOf(requestKey)).to.equal(undefined);
            learn(harness, suspect([300, 200, 100], harness.atMs));
            expect(harness.rejectionOf(requestKey)?.reason).to.equal(REASON);
        });

        it("counts the servers that ended on other VMs and on this one, each start once", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([300, 200], harness.atMs));
            learn(harness, suspect([300, 200], harness.atMs));
            const first = arriveDeadly(harness);
            expect(harness.attemptsOf(first).length).to.equal(1);
            endServer(harness, first);
            expect(harness.rejectionOf(arriveDeadly(harness))?.reason).to.equal(REASON);
        });

        it("leaves other requests alone", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([300, 200, 100], harness.atMs));
            expect(harness.attemptsOf(harness.arrive()).length).to.equal(1);
        });

        it("may be sent again after the hold, and is held back longer after another end", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([300, 200, 100], harness.atMs));
            harness.atMs += HOLD_MS;
            harness.reportLoad("i-0", {});
            const requestKey = arriveDeadly(harness);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            endServer(harness, requestKey);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            harness.atMs += HOLD_MS + 1_000;
            expect(harness.rejectionOf(arriveDeadly(harness))?.reason).to.equal(REASON);
        });
    });

    describe("a request under which a server has ended before", () => {
        // Its second server would end as well.
        it("gets no second server", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([200], harness.atMs));
            const requestKey = arriveDeadly(harness);
            endServer(harness, requestKey);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
            expect(harness.rejectionOf(requestKey)?.statusCode).to.equal(502);
        });

        it("is not sent to two servers at once", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([200], harness.atMs));
            const requestKey = arriveDeadly(harness);
            harness.advance(600);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
        });

        // A server that ends for another reason takes harmless requests with it.
        it("gets a second server the first time", () => {
            const harness = new DispatchHarness();
            const requestKey = arriveDeadly(harness);
            endServer(harness, requestKey);
            expect(harness.attemptsOf(requestKey).length).to.equal(2);
            harness.answer(harness.lastAttempt(requestKey).attemptId);
            expect(harness.rejectionOf(requestKey)).to.equal(undefined);
        });

        it("is cleared by running to its end", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([300, 200], harness.atMs));
            const requestKey = arriveDeadly(harness);
            harness.answer(harness.lastAttempt(requestKey).attemptId);
            learn(harness, suspect([300, 200, 100], harness.atMs));
            expect(harness.attemptsOf(arriveDeadly(harness)).length).to.equal(1);
        });

        it("is not cleared by a response that says that it was not run", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([300, 200], harness.atMs));
            const requestKey = arriveDeadly(harness);
            harness.answer(harness.lastAttempt(requestKey).attemptId, { notRun: true, statusCode: 503 });
            learn(harness, suspect([300, 200, 100], harness.atMs));
            expect(harness.rejectionOf(arriveDeadly(harness))?.reason).to.equal(REASON);
        });
    });

    // Of a request that many callers send, some copies run on each server that ends for another reason.
    it("is not to blame if it ran to its end a moment before", () => {
        const harness = new DispatchHarness();
        harness.answer(harness.lastAttempt(arriveDeadly(harness)).attemptId);
        harness.atMs += 50;
        harness.reportLoad("i-0", {});
        endServer(harness, arriveDeadly(harness));
        expect(listSuspects(harness.state, harness.atMs)).to.deep.equal([]);
    });

    describe("the table of such requests", () => {
        // Callers choose the paths of their requests.
        it("is bounded, and keeps those that are held back", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([300, 200, 100], harness.atMs));
            for (let index = 0; index < 1_000; index += 1) {
                harness.atMs += 1;
                learn(harness, suspect([1], harness.atMs, `fingerprint-${index}`));
            }
            expect(harness.state.suspects.size).to.equal(256);
            expect(harness.rejectionOf(arriveDeadly(harness))?.reason).to.equal(REASON);
            expect(listSuspects(harness.state, harness.atMs).length).to.equal(32);
            expect(listSuspects(harness.state, harness.atMs)[0]?.fingerprint).to.equal(FINGERPRINT);
        });

        it("forgets a request some time after its hold", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([300, 200, 100], harness.atMs));
            harness.atMs += 3 * HOLD_MS;
            learn(harness, suspect([1], harness.atMs, "another"));
            expect([...harness.state.suspects.keys()]).to.deep.equal(["another"]);
        });

        // The number of servers that are kept does not grow any more, their times do.
        it("notices a further end when it keeps as many as it can", () => {
            const harness = new DispatchHarness();
            learn(harness, suspect([8, 7, 6, 5, 4, 3, 2, 1], harness.atMs));
            harness.atMs += 5_000;
            learn(harness, {
                fingerprint: FINGERPRINT,
                crashes: [{ instanceId: "i-0", startedAtUnixMs: 9, atMs: harness.atMs }],
                completedAtMs: -Infinity,
            });
            const kept = harness.state.suspects.get(FINGERPRINT)?.crashes;
            expect(kept?.length).to.equal(8);
            expect(kept?.at(-1)?.instanceId).to.equal("i-0");
        });

        it("bounds how long a request is held back", () => {
            const agesMs = [...Array(8).keys()].map(index => 8 - index);
            expect(selectHold(suspect(agesMs, 0)).untilMs).to.be.at.most(900_000);
        });
    });
});
