import {
    selectNextOffset,
    selectOwnBounds,
    selectOwnershipHealth,
    selectTerms,
    SHARE_COUNT,
} from "@marigoldstall/fleet.ownership";
import { expect } from "chai";
import { OwnershipDriver } from "./ownership-driver.js";
import { OWNERSHIP_FIXTURE } from "./ownership-fixture.js";

const { alpha, beta, appended, assign, extend, startMs: START_MS } = OWNERSHIP_FIXTURE;

// After a restore the offsets that a daemon has read are given out again, so an offset alone does not order records.
describe("reduceOwnership", () => {
    describe("a log restored from an older copy", () => {
        const TERM_AFTER_RESTORE = 2 ** 32;
        const CAP_AHEAD_MS = 3_600_000;

        const restored = (recordCount: number): OwnershipDriver => {
            const driver = new OwnershipDriver(alpha);
            driver.records.push(assign({}), extend({}), extend({}));
            driver.send({ type: "members-changed", atMs: 0, members: [alpha, beta] });
            driver.read();
            driver.restore(recordCount);
            driver.read();
            driver.read();
            return driver;
        };

        it("reads the log again from the start, and ignores a response from before the restore", () => {
            const driver = restored(1);
            expect(selectNextOffset(driver.state)).to.equal(1);
            const { state } = driver;
            driver.send({
                type: "log-read",
                atMs: 1,
                wallMs: START_MS,
                firstOffset: 0,
                nextOffset: 9,
                records: [{ offset: 1, value: extend({}) }],
            });
            expect(driver.state).to.equal(state);
        });

        // The guardian may have died with the log unreachable for its owner, so only the cap ends the term.
        it("keeps its bounds, extends nothing, and starts no term before the caps of the lost records", () => {
            for (const recordCount of [0, 1, 2]) {
                const driver = restored(recordCount);
                expect(selectOwnBounds(driver.state).get(0)).to.equal(START_MS + 6_000);
                driver.effects = [];
                for (let passedMs = 0; passedMs < CAP_AHEAD_MS; passedMs += 60_000) {
                    driver.read();
                    driver.tick(60_000);
                }
                expect(driver.effects.filter(({ type }) => type === "append-ownership-record")).to.deep.equal([]);
            }
        });

        it("restarts all shares above the lost caps, at the end of the copy", () => {
            const driver = restored(2);
            driver.tick(CAP_AHEAD_MS);
            driver.read();
            driver.tick(3_000);
            const [record] = appended(driver.effects, "assign");
            expect(record).to.include({ restartAtOffset: 2 });
            driver.append(record);
            expect(driver.term()?.term).to.equal(TERM_AFTER_RESTORE + 3);
            expect(driver.term()?.fromMs).to.be.at.least(START_MS + CAP_AHEAD_MS + 60_000);
            expect(selectOwnershipHealth(driver.state, 0)).to.include({ synchronized: true, sharesWithoutTerm: 0 });
        });

        it("ignores late records from before the restore, also a restart or a snapshot", () => {
            const driver = restored(1);
            const lost = Array.from({ length: SHARE_COUNT }, (...[, share]) => assign({ entry: { share, term: 2 } }));
            const lateRestart = {
                ...assign({ basis: "bootstrap" }),
                restartAtOffset: 1,
                entries: lost.flatMap(({ entries }) => entries),
            };
            const before = selectTerms(driver.state);
            driver.append(lateRestart);
            driver.append({ type: "snapshot", recordId: "s", throughOffset: 1, terms: before });
            driver.append(assign({ basis: "owner", writer: alpha.daemon, entry: { term: 2 } }));
            expect(selectTerms(driver.state)).to.equal(before);
            expect(selectOwnershipHealth(driver.state, 0).synchronized).to.equal(false);
        });

        it("waits for the caps again when the log is restored a second time", () => {
            const driver = restored(2);
            driver.tick(CAP_AHEAD_MS - 1_000);
            driver.restore(1);
            driver.read();
            driver.read();
            driver.tick(10_000);
            driver.read();
            driver.tick(10_000);
            expect(appended(driver.effects, "assign")).to.deep.equal([]);
        });
    });
});
