import { ledgerReason, selectLedgerCounts } from "@marigoldstall/requests.ledger";
import { expect } from "chai";
import type { ClaimCost } from "./claim-cost.js";
import { LedgerDriver } from "./ledger-driver.js";
import { StateObserver } from "./state-observer.js";

const response = (bytes = 10) => ({ statusCode: 201, headers: [], bodyBase64: "x".repeat(bytes) });
const granted = { type: "granted" };

const owning = (opts = {}): LedgerDriver => {
    const driver = new LedgerDriver(opts);
    driver.terms(LedgerDriver.term());
    return driver;
};

describe("the ledger of the owner", () => {
    describe("keys that it refuses", () => {
        const cases = [
            { name: "no UUIDv7", key: "not-a-key", reason: ledgerReason.keyInvalid },
            { name: "a UUIDv4", key: "0190abcd-0000-4000-8000-000000000001", reason: ledgerReason.keyInvalid },
            { name: "a key before all known terms", key: LedgerDriver.key(-1), reason: ledgerReason.keyTooOld },
            { name: "a key too far above the bound", key: LedgerDriver.key(12_000), reason: ledgerReason.keyTimeAhead },
        ];
        for (const { name, key, reason } of cases) {
            it(`refuses ${name}`, () => {
                expect(owning().claim({ key })).to.include({ type: "refused", reasonCode: reason });
            });
        }

        it("blames a missing bound on the share and not on the caller's clock", () => {
            const driver = owning();
            driver.atMs = 11_000;
            expect(driver.claim({ key: LedgerDriver.key(12_500) }))
                .to.include({ type: "refused", reasonCode: ledgerReason.shareUnavailable });
        });

        it("refuses a key of another owner's term, of an earlier incarnation, and of an unknown share", () => {
            const { term, other } = LedgerDriver;
            const driver = new LedgerDriver();
            expect(driver.claim()).to.include({ reasonCode: ledgerReason.wrongOwner });
            driver.terms(
                term({ owner: { vmId: "alpha", incarnation: "0" } }),
                term({ term: 2, owner: other, fromMs: 2_000 }),
                term({ term: 3, fromMs: 4_000 }),
            );
            expect(driver.claim({ key: LedgerDriver.key(1_000) })).to.include({
                reasonCode: ledgerReason.keyOwnerGone,
            });
            expect(driver.claim({ key: LedgerDriver.key(2_000) })).to.include({ reasonCode: ledgerReason.wrongOwner });
            expect(driver.claim({ key: LedgerDriver.key(4_000) })).to.deep.equal(granted);
        });

        it("grants in an own term that has ended up to the start of the next one", () => {
            const { term, other, key } = LedgerDriver;
            const driver = new LedgerDriver();
            driver.terms(term({ boundMs: 500 }), term({ term: 2, owner: other, fromMs: 2_000 }));
            expect(driver.claim({ key: key(1_999) })).to.deep.equal(granted);
            expect(driver.claim({ key: key(2_000) })).to.include({ reasonCode: ledgerReason.wrongOwner });
        });

        it("forgets a key only when it refuses all keys of that time", () => {
            const driver = owning();
            expect(driver.claim()).to.deep.equal(granted);
            driver.terms(LedgerDriver.term({ boundMs: 700_000 }));
            expect(selectLedgerCounts(driver.state).keys).to.equal(0);
            expect(driver.claim({ requestId: "two" })).to.include({ reasonCode: ledgerReason.keyTooOld });
        });
    });

    describe("claims of a key that is known", () => {
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
                name: "other content",
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
                name: "a released key with other content",
                settle: {},
                claim: { requestId: "two", fingerprint: "other" },
                reply: granted,
            },
            {
                name: "a key that another than the holder tried to release",
                settle: { requestId: "two" },
                claim: { requestId: "three" },
                reply: { type: "in-progress" },
            },
            {
                name: "a key that another incarnation of the runner tried to settle",
                settle: { runner: { vmId: "beta", incarnation: "0" } },
                claim: { requestId: "three" },
                reply: { type: "in-progress" },
            },
        ];
        for (const { name, settle, claim, reply } of cases) {
            it(`answers a claim of ${name} with ${reply.type}`, () => {
                const driver = owning();
                expect(driver.claim()).to.deep.equal(granted);
                if (settle !== undefined) {
                    driver.settle(settle);
                }
                expect(driver.claim(claim)).to.deep.equal(reply);
            });
        }
    });

    describe("late and repeated messages", () => {
        it("does not free a key by a late release when it was granted to another meanwhile", () => {
            const driver = owning();
            driver.claim();
            driver.settle();
            expect(driver.claim({ requestId: "two" })).to.deep.equal(granted);
            driver.settle();
            expect(driver.claim({ requestId: "three" })).to.deep.equal({ type: "in-progress" });
        });

        it("does not grant to a runner whose release overtook its claim", () => {
            const driver = owning();
            driver.settle();
            expect(driver.claim()).to.include({ type: "refused", reasonCode: ledgerReason.requestEnded });
            expect(driver.claim({ requestId: "two" })).to.deep.equal(granted);
        });

        it("does not grant to a runner that released the key while another held it", () => {
            const driver = owning();
            driver.claim({ requestId: "two" });
            driver.settle();
            driver.settle({ requestId: "two" });
            expect(driver.claim()).to.include({ type: "refused", reasonCode: ledgerReason.requestEnded });
        });

        it("keeps the first settlement of a holder", () => {
            const driver = owning();
            driver.claim();
            driver.settle({ outcome: "completed", response: response() });
            driver.settle();
            expect(driver.claim({ requestId: "two" })).to.deep.equal({ type: "completed", response: response() });
        });

        it("reports a grant as unknown when its runner is long past the deadline, until it settles", () => {
            const driver = owning();
            driver.claim();
            driver.tick(16_001);
            expect(driver.claim({ requestId: "two" })).to.deep.equal({ type: "unknown" });
            driver.settle({ outcome: "completed", response: response() });
            expect(driver.claim({ requestId: "two" })).to.deep.equal({ type: "completed", response: response() });
        });
    });

    describe("claims ahead of the bound", () => {
        it("decides a claim when the bound has passed it", () => {
            const driver = owning();
            expect(driver.claim({ key: LedgerDriver.key(11_000) })).to.equal(undefined);
            expect(LedgerDriver.replies(driver.terms(LedgerDriver.term({ boundMs: 11_001 })))).to.deep.equal([granted]);
        });

        it("refuses a claim whose bound does not rise within 2 s", () => {
            const driver = owning();
            driver.claim({ key: LedgerDriver.key(11_000) });
            expect(LedgerDriver.replies(driver.tick(1_999))).to.deep.equal([]);
            expect(LedgerDriver.replies(driver.tick(1))[0]).to.include({ reasonCode: ledgerReason.shareUnavailable });
        });

        it("does not grant a waiting claim that was released meanwhile", () => {
            const driver = owning();
            driver.claim({ key: LedgerDriver.key(11_000) });
            driver.settle({ key: LedgerDriver.key(11_000) });
            expect(LedgerDriver.replies(driver.terms(LedgerDriver.term({ boundMs: 12_000 })))[0])
                .to.include({ reasonCode: ledgerReason.requestEnded });
        });

        it("passes a waiting claim on when the share was handed over below it", () => {
            const { term, other } = LedgerDriver;
            const driver = owning();
            driver.claim({ key: LedgerDriver.key(11_000) });
            const effects = driver.terms(term(), term({ term: 2, owner: other, fromMs: 10_500, boundMs: 10_500 }));
            expect(LedgerDriver.replies(effects)[0]).to.include({ reasonCode: ledgerReason.wrongOwner });
        });
    });

    describe("limits", () => {
        it("refuses new keys when the table is full, and forgets none", () => {
            const driver = owning({ keyCountLimit: 2 });
            driver.claim({ key: LedgerDriver.key(1, 1) });
            driver.claim({ key: LedgerDriver.key(1, 2) });
            expect(driver.claim({ key: LedgerDriver.key(1, 3) })).to.include({ reasonCode: ledgerReason.ledgerFull });
            expect(driver.claim({ key: LedgerDriver.key(1, 1), requestId: "two" })).to.deep.equal({
                type: "in-progress",
            });
        });

        it("keeps the outcome without the body when the responses are too large", () => {
            const driver = owning({ storedBytesLimit: 300 });
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

        it("refuses claims when too many wait", () => {
            const driver = owning({ waitingLimit: 1 });
            driver.claim({ key: LedgerDriver.key(11_000, 1) });
            expect(driver.claim({ key: LedgerDriver.key(11_000, 2) })).to.include({
                reasonCode: ledgerReason.ledgerFull,
            });
        });

        // Guards against a claim that copies or scans the table of keys.
        it("does not do more work for a claim when it stores more keys", () => {
            const driver = owning();
            const observer = new StateObserver();
            let tail = 0;
            const claim = (count: number): void => {
                for (const endTail = tail + count; tail < endTail; tail += 1) {
                    driver.claim({ key: LedgerDriver.key(tail % 10_000, tail) });
                }
            };
            const measureClaims = (): ClaimCost => {
                observer.observe(driver.state);
                observer.fieldReads = 0;
                let newSlots = 0;
                for (let index = 0; index < 100; index += 1) {
                    claim(1);
                    newSlots += observer.observe(driver.state);
                }
                return { newSlots, fieldReads: observer.fieldReads };
            };
            claim(300);
            const few = measureClaims();
            claim(5_500);
            const many = measureClaims();
            expect(selectLedgerCounts(driver.state).granted).to.equal(6_000);
            expect(few.newSlots).to.be.above(0);
            expect(few.fieldReads).to.be.above(0);
            // The tree of keys is a level deeper; a cost in proportion to the keys would be more than 10-fold.
            expect(many.newSlots).to.be.below(2 * few.newSlots);
            expect(many.fieldReads).to.be.below(2 * few.fieldReads);
        });
    });
});
