import { ledgerReason, selectLedgerCounts } from "@marigoldstall/requests.ledger";
import { expect } from "chai";
import type { ClaimCost } from "./claim-cost.js";
import { LedgerDriver } from "./ledger-driver.js";
import { StateObserver } from "./state-observer.js";

const response = (bytes = 10) => ({ statusCode: 201, headers: [], bodyBase64: "x".repeat(bytes) });
const granted = { type: "granted" };

const createOwnerDriver = (opts = {}): LedgerDriver => {
    const driver = new LedgerDriver(opts);
    driver.terms(LedgerDriver.term());
    return driver;
};

describe("ledger of the owner of a key", () => {
    describe("refused keys", () => {
        const cases = [
            { name: "a key that is not a UUID", key: "not-a-key", reason: ledgerReason.keyInvalid },
            { name: "a UUIDv4", key: "0190abcd-0000-4000-8000-000000000001", reason: ledgerReason.keyInvalid },
            { name: "a key before all known terms", key: LedgerDriver.key(-1), reason: ledgerReason.keyTooOld },
            { name: "a key too far above the bound", key: LedgerDriver.key(12_000), reason: ledgerReason.keyTimeAhead },
        ];
        for (const { name, key, reason } of cases) {
            it(`refuses ${name}`, () => {
                expect(createOwnerDriver().claim({ key })).to.include({ type: "refused", reasonCode: reason });
            });
        }

        it("refuses with SHARE_UNAVAILABLE and not KEY_TIME_AHEAD when the bound lags behind the wall clock", () => {
            const driver = createOwnerDriver();
            driver.atMs = 11_000;
            expect(driver.claim({ key: LedgerDriver.key(12_500) }))
                .to.include({ type: "refused", reasonCode: ledgerReason.shareUnavailable });
        });

        it("refuses a key of another owner's term, of an earlier incarnation, and of an unknown share", () => {
            const { term, peer } = LedgerDriver;
            const driver = new LedgerDriver();
            expect(driver.claim()).to.include({ reasonCode: ledgerReason.wrongOwner });
            driver.terms(
                term({ owner: { vmId: "alpha", incarnation: "0" } }),
                term({ term: 2, owner: peer, fromMs: 2_000 }),
                term({ term: 3, fromMs: 4_000 }),
            );
            expect(driver.claim({ key: LedgerDriver.key(1_000) })).to.include({
                reasonCode: ledgerReason.keyOwnerGone,
            });
            expect(driver.claim({ key: LedgerDriver.key(2_000) })).to.include({ reasonCode: ledgerReason.wrongOwner });
            expect(driver.claim({ key: LedgerDriver.key(4_000) })).to.deep.equal(granted);
        });

        it("grants key times of its own ended term up to the start of the next term", () => {
            const { term, peer, key } = LedgerDriver;
            const driver = new LedgerDriver();
            driver.terms(term({ boundMs: 500 }), term({ term: 2, owner: peer, fromMs: 2_000 }));
            expect(driver.claim({ key: key(1_999) })).to.deep.equal(granted);
            expect(driver.claim({ key: key(2_000) })).to.include({ reasonCode: ledgerReason.wrongOwner });
        });

        it("evicts a key only when it refuses all keys of that key time", () => {
            const driver = createOwnerDriver();
            expect(driver.claim()).to.deep.equal(granted);
            driver.terms(LedgerDriver.term({ boundMs: 700_000 }));
            expect(selectLedgerCounts(driver.state).keys).to.equal(0);
            expect(driver.claim({ requestId: "two" })).to.include({ reasonCode: ledgerReason.keyTooOld });
        });
    });

    describe("claims of known keys", () => {
        const cases = [
            { name: "the same runner and request", settle: undefined, claim: {}, reply: granted },
            { name: "another request", settle: undefined, claim: { requestId: "two" }, reply: { type: "in-progress" } },
            {
                name: "the same request id of another runner",
                settle: undefined,
                claim: { runner: LedgerDriver.self },
                reply: { type: "in-progress" },
            },
            {
                name: "different content",
                settle: undefined,
                claim: { requestId: "two", fingerprint: "other" },
                reply: { type: "mismatch" },
            },
            {
                name: "a completed key",
                settle: { outcome: "completed" as const, response: response() },
                claim: { requestId: "two" },
                reply: { type: "completed", response: response() },
            },
            {
                name: "an unknown key",
                settle: { outcome: "unknown" as const },
                claim: { requestId: "two" },
                reply: { type: "unknown" },
            },
            { name: "a released key", settle: {}, claim: { requestId: "two" }, reply: granted },
            {
                name: "a released key with different content",
                settle: {},
                claim: { requestId: "two", fingerprint: "other" },
                reply: granted,
            },
            {
                name: "a key that another request than the holder tried to release",
                settle: { requestId: "two" },
                claim: { requestId: "three" },
                reply: { type: "in-progress" },
            },
            {
                name: "a key that another incarnation of the runner tried to release",
                settle: { runner: { vmId: "beta", incarnation: "0" } },
                claim: { requestId: "three" },
                reply: { type: "in-progress" },
            },
        ];
        for (const { name, settle, claim, reply } of cases) {
            it(`answers a claim of ${name} with ${reply.type}`, () => {
                const driver = createOwnerDriver();
                expect(driver.claim()).to.deep.equal(granted);
                if (settle !== undefined) {
                    driver.settle(settle);
                }
                expect(driver.claim(claim)).to.deep.equal(reply);
            });
        }
    });

    describe("late and duplicate messages", () => {
        it("ignores a late release of a key that was granted to another request in the meantime", () => {
            const driver = createOwnerDriver();
            driver.claim();
            driver.settle();
            expect(driver.claim({ requestId: "two" })).to.deep.equal(granted);
            driver.settle();
            expect(driver.claim({ requestId: "three" })).to.deep.equal({ type: "in-progress" });
        });

        it("does not grant a claim whose release arrived first", () => {
            const driver = createOwnerDriver();
            driver.settle();
            expect(driver.claim()).to.include({ type: "refused", reasonCode: ledgerReason.requestEnded });
            expect(driver.claim({ requestId: "two" })).to.deep.equal(granted);
        });

        it("does not grant a claim that was released while another request held the key", () => {
            const driver = createOwnerDriver();
            driver.claim({ requestId: "two" });
            driver.settle();
            driver.settle({ requestId: "two" });
            expect(driver.claim()).to.include({ type: "refused", reasonCode: ledgerReason.requestEnded });
        });

        it("keeps the first settlement of a holder", () => {
            const driver = createOwnerDriver();
            driver.claim();
            driver.settle({ outcome: "completed", response: response() });
            driver.settle();
            expect(driver.claim({ requestId: "two" })).to.deep.equal({ type: "completed", response: response() });
        });

        it("reports an unsettled grant as unknown after the deadline and grace period, until it is settled", () => {
            const driver = createOwnerDriver();
            driver.claim();
            driver.tick(16_001);
            expect(driver.claim({ requestId: "two" })).to.deep.equal({ type: "unknown" });
            driver.settle({ outcome: "completed", response: response() });
            expect(driver.claim({ requestId: "two" })).to.deep.equal({ type: "completed", response: response() });
        });
    });

    describe("claims above the bound", () => {
        it("decides a claim when the bound has passed its key time", () => {
            const driver = createOwnerDriver();
            expect(driver.claim({ key: LedgerDriver.key(11_000) })).to.equal(undefined);
            expect(LedgerDriver.replies(driver.terms(LedgerDriver.term({ boundMs: 11_001 })))).to.deep.equal([granted]);
        });

        it("refuses a claim whose bound does not rise within 2 s", () => {
            const driver = createOwnerDriver();
            driver.claim({ key: LedgerDriver.key(11_000) });
            expect(LedgerDriver.replies(driver.tick(1_999))).to.deep.equal([]);
            expect(LedgerDriver.replies(driver.tick(1))[0]).to.include({ reasonCode: ledgerReason.shareUnavailable });
        });

        it("does not grant a waiting claim that was released in the meantime", () => {
            const driver = createOwnerDriver();
            driver.claim({ key: LedgerDriver.key(11_000) });
            driver.settle({ key: LedgerDriver.key(11_000) });
            expect(LedgerDriver.replies(driver.terms(LedgerDriver.term({ boundMs: 12_000 })))[0])
                .to.include({ reasonCode: ledgerReason.requestEnded });
        });

        it("refuses a waiting claim with WRONG_OWNER when a new term starts below its key time", () => {
            const { term, peer } = LedgerDriver;
            const driver = createOwnerDriver();
            driver.claim({ key: LedgerDriver.key(11_000) });
            const effects = driver.terms(term(), term({ term: 2, owner: peer, fromMs: 10_500, boundMs: 10_500 }));
            expect(LedgerDriver.replies(effects)[0]).to.include({ reasonCode: ledgerReason.wrongOwner });
        });
    });

    describe("limits", () => {
        it("refuses new keys when the table is full, and evicts none", () => {
            const driver = createOwnerDriver({ keyCountLimit: 2 });
            driver.claim({ key: LedgerDriver.key(1, 1) });
            driver.claim({ key: LedgerDriver.key(1, 2) });
            expect(driver.claim({ key: LedgerDriver.key(1, 3) })).to.include({ reasonCode: ledgerReason.ledgerFull });
            expect(driver.claim({ key: LedgerDriver.key(1, 1), requestId: "two" })).to.deep.equal({
                type: "in-progress",
            });
        });

        it("stores the outcome without the body when the stored responses reach their size limit", () => {
            const driver = createOwnerDriver({ storedBytesLimit: 300 });
            for (const requestId of ["a", "b"]) {
                driver.claim({ key: LedgerDriver.key(1, requestId.charCodeAt(0)), requestId });
            }
            for (const requestId of ["a", "b"]) {
                const key = LedgerDriver.key(1, requestId.charCodeAt(0));
                driver.settle({ key, requestId, outcome: "completed", response: response(150) });
            }
            expect(driver.claim({ key: LedgerDriver.key(1, "b".charCodeAt(0)), requestId: "c" }))
                .to.deep.equal({ type: "completed", response: { ...response(), bodyBase64: undefined } });
            expect(selectLedgerCounts(driver.state).storedBytes).to.be.at.most(300);
        });

        it("refuses claims when the number of waiting claims has reached its limit", () => {
            const driver = createOwnerDriver({ waitingLimit: 1 });
            driver.claim({ key: LedgerDriver.key(11_000, 1) });
            expect(driver.claim({ key: LedgerDriver.key(11_000, 2) })).to.include({
                reasonCode: ledgerReason.ledgerFull,
            });
        });

        // Fails if a claim copies or scans the whole table of keys.
        it("processes a claim at a cost that is not proportional to the number of stored keys", () => {
            const driver = createOwnerDriver();
            const observer = new StateObserver();
            let suffix = 0;
            const claim = (count: number): void => {
                for (const endSuffix = suffix + count; suffix < endSuffix; suffix += 1) {
                    driver.claim({ key: LedgerDriver.key(suffix % 10_000, suffix) });
                }
            };
            const measureClaims = (): ClaimCost => {
                observer.observe(driver.state);
                observer.fieldReads = 0;
                let newFields = 0;
                for (let index = 0; index < 100; index += 1) {
                    claim(1);
                    newFields += observer.observe(driver.state);
                }
                return { newFields, fieldReads: observer.fieldReads };
            };
            claim(300);
            const few = measureClaims();
            claim(5_500);
            const many = measureClaims();
            expect(selectLedgerCounts(driver.state).granted).to.equal(6_000);
            expect(few.newFields).to.be.above(0);
            expect(few.fieldReads).to.be.above(0);
            // The tree of keys is one level deeper now. A cost proportional to the number of keys would grow more than 10-fold.
            expect(many.newFields).to.be.below(2 * few.newFields);
            expect(many.fieldReads).to.be.below(2 * few.fieldReads);
        });
    });
});
