import { type ClaimReply, type LedgerEffect, ledgerReason, selectLedgerCounts } from "@marigoldstall/requests.ledger";
import { expect } from "chai";
import { LedgerDriver } from "./ledger-driver.js";

const { peer, self, term, types } = LedgerDriver;
const response = { statusCode: 201, headers: [], bodyBase64: "x" };

/** Creates a driver of a daemon whose peer owns the share. */
const createEntryDriver = (opts = {}): LedgerDriver => {
    const driver = new LedgerDriver(opts);
    driver.terms(term({ owner: peer }));
    return driver;
};

const findAnswer = (effects: readonly LedgerEffect[]) => effects.find(effect => effect.type === "answer-caller");

const finish = (driver: LedgerDriver, outcome: "completed" | "not-run" | "unknown") =>
    driver.send({
        type: "request-finished",
        ...driver.now(),
        requestId: "mine",
        outcome,
        response: outcome === "completed" ? response : undefined,
    });

describe("ledger of the daemon that receives a request", () => {
    describe("responses to the caller", () => {
        const refused = (reasonCode: string): ClaimReply => ({ type: "refused", reasonCode, retryAfterMs: undefined });
        const cases: readonly [ClaimReply, number, string, string | undefined][] = [
            [{ type: "unknown" }, 409, "unknown", ledgerReason.keyOutcomeUnknown],
            [{ type: "mismatch" }, 422, "not-run", ledgerReason.keyMismatch],
            [{ type: "completed", response }, 201, "completed", undefined],
            [
                { type: "completed", response: { ...response, bodyBase64: undefined } },
                201,
                "completed",
                ledgerReason.responseNotKept,
            ],
            [{ type: "completed", response: undefined }, 409, "completed", ledgerReason.responseNotKept],
            [refused(ledgerReason.keyOwnerGone), 409, "unknown", ledgerReason.keyOwnerGone],
            [refused(ledgerReason.keyTooOld), 409, "unknown", ledgerReason.keyTooOld],
            [refused(ledgerReason.keyTimeAhead), 400, "not-run", ledgerReason.keyTimeAhead],
            [refused(ledgerReason.ledgerFull), 503, "not-run", ledgerReason.ledgerFull],
            [refused(ledgerReason.shareUnavailable), 503, "not-run", ledgerReason.shareUnavailable],
        ];
        for (const [reply, statusCode, outcome, reasonCode] of cases) {
            it(`answers ${statusCode} ${outcome} to ${reply.type} ${reasonCode ?? ""}`, () => {
                const driver = createEntryDriver();
                driver.receiveRequest();
                const effects = driver.receiveClaimReply(reply);
                expect(findAnswer(effects)).to.include({ statusCode, outcome, reasonCode });
                expect(types(effects)).to.deep.equal(["answer-caller"]);
                expect(types(driver.receiveClaimReply({ type: "granted" }))).to.deep.equal([]);
            });
        }

        describe("while an earlier request with the same key is in progress", () => {
            const createWaitingDriver = (opts: { timeoutMs?: number; } = {}): LedgerDriver => {
                const driver = createEntryDriver();
                driver.receiveRequest(opts);
                expect(types(driver.receiveClaimReply({ type: "in-progress" }))).to.deep.equal([]);
                return driver;
            };

            it("waits, resends its claim, and responds with the response of the earlier request", () => {
                const driver = createWaitingDriver();
                expect(types(driver.tick(100))).to.deep.equal([]);
                expect(types(driver.tick(100))).to.deep.equal(["send-claim"]);
                expect(findAnswer(driver.receiveClaimReply({ type: "completed", response })))
                    .to.include({ statusCode: 201, outcome: "completed" });
            });

            it("routes the request when the key is granted because the earlier request did not run", () => {
                const driver = createWaitingDriver();
                driver.tick(200);
                expect(types(driver.receiveClaimReply({ type: "granted" }))).to.deep.equal(["route-request"]);
            });

            it("answers 409 unknown after 5 s, and never routes the request after that", () => {
                const driver = createWaitingDriver({ timeoutMs: 60_000 });
                let effects: readonly LedgerEffect[] = [];
                for (let waitedMs = 0; waitedMs < 5_000; waitedMs += 200) {
                    expect(findAnswer(effects)).to.equal(undefined);
                    effects = driver.tick(200);
                    effects = [...effects, ...driver.receiveClaimReply({ type: "in-progress" })];
                }
                expect(findAnswer(effects)).to.include({
                    statusCode: 409,
                    outcome: "unknown",
                    reasonCode: ledgerReason.keyInProgress,
                });
                expect(types(driver.receiveClaimReply({ type: "granted" }))).not.to.include("route-request");
            });

            it("answers 409 unknown at its deadline, never not-run", () => {
                const driver = createWaitingDriver({ timeoutMs: 500 });
                driver.tick(200);
                expect(findAnswer(driver.tick(300))).to.include({
                    statusCode: 409,
                    outcome: "unknown",
                    reasonCode: ledgerReason.keyInProgress,
                });
            });
        });

        it("rejects a key that is not a UUIDv7 without sending a claim", () => {
            const effects = createEntryDriver().receiveRequest({ key: "0190abcd-0000-4000-8000-000000000001" });
            expect(effects).to.have.length(1);
            expect(findAnswer(effects)).to.include({
                statusCode: 400,
                outcome: "not-run",
                reasonCode: ledgerReason.keyInvalid,
            });
        });

        it("claims the same key for digits in either case", () => {
            const key = "0190abcd-abcd-7000-8000-0000000000ab";
            const driver = new LedgerDriver();
            driver.terms(term({ owner: peer, fromMs: -1_800_000_000_000 }));
            const [effect] = driver.receiveRequest({ key: key.toUpperCase() });
            expect(effect).to.have.nested.property("request.key", key);
        });

        it("answers unknown for a key before all known terms", () => {
            expect(findAnswer(createEntryDriver().receiveRequest({ key: LedgerDriver.key(-1) })))
                .to.include({ statusCode: 409, outcome: "unknown", reasonCode: ledgerReason.keyTooOld });
        });

        it("answers not-run when no daemon is known to own the key", () => {
            const driver = new LedgerDriver();
            driver.receiveRequest();
            expect(types(driver.tick(2_800))).to.deep.equal([]);
            expect(findAnswer(driver.tick(200))).to.include({
                outcome: "not-run",
                reasonCode: ledgerReason.shareUnavailable,
            });
        });

        it("answers not-run at the deadline when the owner does not reply, and releases the claim", () => {
            const driver = createEntryDriver();
            driver.receiveRequest();
            const effects = driver.tick(5_000);
            expect(findAnswer(effects)).to.include({ outcome: "not-run", reasonCode: ledgerReason.ownerUnreachable });
            expect(types(effects)).to.deep.equal(["answer-caller", "send-settle"]);
        });

        it("answers unknown when the owner of an ended term does not reply, because the key may have been granted", () => {
            const driver = new LedgerDriver();
            driver.terms(term({ owner: peer }), term({ term: 2, fromMs: 2_000 }));
            driver.receiveRequest();
            expect(findAnswer(driver.tick(2_000))).to.include({
                outcome: "unknown",
                reasonCode: ledgerReason.keyOwnerGone,
            });
        });

        it("rejects requests when the number of waiting requests has reached its limit", () => {
            const driver = createEntryDriver({ waitingLimit: 1 });
            driver.receiveRequest({ requestId: "first" });
            expect(findAnswer(driver.receiveRequest())).to.include({
                outcome: "not-run",
                reasonCode: ledgerReason.ledgerFull,
            });
        });
    });

    describe("claims", () => {
        it("resends a claim with the same request id until it gets a reply", () => {
            const driver = createEntryDriver();
            const first = driver.receiveRequest()[0];
            const second = driver.tick(1_000)[0];
            expect(first).to.deep.include({ type: "send-claim", owner: peer });
            expect(second).to.have.nested.property("request.requestId", "mine");
            driver.receiveClaimReply(undefined);
            expect(types(driver.tick(200))).to.deep.equal(["send-claim"]);
        });

        it("sends the claim to the new owner when the share has changed owners", () => {
            const driver = createEntryDriver();
            driver.receiveRequest();
            driver.receiveClaimReply({ type: "refused", reasonCode: ledgerReason.wrongOwner, retryAfterMs: undefined });
            const gamma = { vmId: "gamma", incarnation: "1" };
            const effects = driver.terms(term({ owner: peer }), term({ term: 2, owner: gamma, fromMs: 500 }));
            expect(effects[0]).to.deep.include({ type: "send-claim", owner: gamma });
        });

        it("routes a granted request only once when the grant arrives more than once", () => {
            const driver = createEntryDriver();
            driver.receiveRequest();
            expect(types(driver.receiveClaimReply({ type: "granted" }))).to.deep.equal(["route-request"]);
            expect(types(driver.receiveClaimReply({ type: "granted" }))).to.deep.equal([]);
        });

        it("does not route a request whose grant arrives after the deadline", () => {
            const driver = createEntryDriver();
            driver.receiveRequest();
            driver.atMs = 5_000;
            const effects = driver.receiveClaimReply({ type: "granted" });
            expect(types(effects)).to.deep.equal(["answer-caller", "send-settle"]);
            expect(findAnswer(effects)).to.include({ outcome: "not-run", reasonCode: ledgerReason.deadlinePassed });
        });

        it("releases the claim and never routes when the caller disconnects before the grant", () => {
            const driver = createEntryDriver();
            driver.receiveRequest();
            expect(types(finish(driver, "not-run"))).to.deep.equal(["send-settle"]);
            expect(types(driver.receiveClaimReply({ type: "granted" }))).to.deep.equal([]);
            expect(types(driver.tick(1_000))).to.deep.equal(["send-settle"]);
        });

        it("releases the claim at all daemons that it was sent to", () => {
            const driver = createEntryDriver();
            driver.receiveRequest();
            const gamma = { vmId: "gamma", incarnation: "1" };
            driver.terms(term({ owner: peer }), term({ term: 2, owner: gamma, fromMs: 500 }));
            const owners = finish(driver, "not-run").flatMap(effect =>
                effect.type === "send-settle" ? [effect.owner] : []
            );
            expect(owners).to.deep.equal([peer, gamma]);
        });

        it("sends no message when it owns the key itself", () => {
            const driver = new LedgerDriver();
            driver.terms(term());
            expect(types(driver.receiveRequest())).to.deep.equal(["route-request"]);
            expect(types(finish(driver, "completed"))).to.deep.equal([]);
            expect(selectLedgerCounts(driver.state)).to.include({ completed: 1, settlementsPending: 0 });
            expect(findAnswer(driver.receiveRequest({ requestId: "again" }))).to.deep.include({
                outcome: "completed",
                response,
            });
        });
    });

    describe("settlements", () => {
        for (const outcome of ["completed", "not-run", "unknown"] as const) {
            it(`resends a settlement with ${outcome} until the granting owner has received it`, () => {
                const driver = createEntryDriver();
                driver.receiveRequest();
                driver.receiveClaimReply({ type: "granted" });
                const [effect] = finish(driver, outcome);
                expect(effect).to.deep.include({ type: "send-settle", owner: peer });
                expect(effect).to.have.nested.property("request.outcome", outcome);
                expect(types(driver.tick(1_000))).to.deep.equal(["send-settle"]);
                const answered = { type: "settle-answered" as const, atMs: driver.atMs, requestId: "mine" };
                driver.send({ ...answered, owner: self, received: true });
                driver.send({ ...answered, owner: peer, received: false });
                expect(types(driver.tick(500))).to.deep.equal(["send-settle"]);
                driver.send({ ...answered, owner: peer, received: true });
                expect(types(driver.tick(1_000))).to.deep.equal([]);
                expect(selectLedgerCounts(driver.state).settlementsPending).to.equal(0);
            });
        }

        it("drops a settlement when the owner stays unreachable", () => {
            const driver = createEntryDriver();
            driver.receiveRequest();
            driver.receiveClaimReply({ type: "granted" });
            finish(driver, "completed");
            driver.tick(120_000);
            expect(selectLedgerCounts(driver.state).settlementsPending).to.equal(0);
        });
    });
});
