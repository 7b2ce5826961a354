import {
    type OwnershipEvent,
    selectOwnBounds,
    selectOwnershipHealth,
    selectTerms,
} from "@marigoldstall/fleet.ownership";
import { expect } from "chai";
import { OwnershipDriver } from "./ownership-driver.js";
import { OWNERSHIP_FIXTURE } from "./ownership-fixture.js";

const { alpha, beta, appended, assign, extend, member, startMs: START_MS } = OWNERSHIP_FIXTURE;

const promise = (boundMs: number, term = 1) => ({
    type: "promise-answered" as const,
    atMs: 0,
    reply: { guardian: beta.daemon, configurationVersion: 0, promises: [{ share: 0, term, boundMs }] },
});

const request = (wantedBoundMs: number, configurationVersion = 0) => ({
    type: "promise-requested" as const,
    atMs: 0,
    rpcId: "rpc",
    request: { owner: alpha.daemon, configurationVersion, wantedBoundMs, shares: [{ share: 0, term: 1 }] },
});

describe("reduceOwnership", () => {
    describe("validity of records by their order in the log", () => {
        const next = (entry: Record<string, unknown>, opts: Record<string, unknown>) =>
            assign({ ...opts, entry: { term: 2, owner: beta.daemon, guardian: alpha.daemon, ...entry } });
        const cases = [
            { name: "accepts the owner's assignment", record: next({}, { basis: "owner" }), valid: true },
            {
                name: "accepts the guardian's assignment",
                record: next({}, { basis: "guardian", writer: beta.daemon }),
                valid: true,
            },
            {
                name: "ignores an assignment with basis `owner` by a daemon that is not the owner",
                record: next({}, { basis: "owner", writer: beta.daemon }),
                valid: false,
            },
            {
                name: "ignores an assignment by an earlier incarnation of the owner",
                record: next({}, { basis: "owner", writer: { vmId: "alpha", incarnation: "0" } }),
                valid: false,
            },
            {
                name: "ignores an assignment below the cap by a third daemon",
                record: next({ fromMs: START_MS + 59_999 }, { basis: "expired", writer: member("gamma").daemon }),
                valid: false,
            },
            {
                name: "accepts an assignment at the cap by a third daemon",
                record: next({ fromMs: START_MS + 60_000 }, { basis: "expired", writer: member("gamma").daemon }),
                valid: true,
            },
            {
                name: "ignores an assignment that skips a term",
                record: next({ term: 3 }, { basis: "owner" }),
                valid: false,
            },
            { name: "ignores a second first term", record: assign({}), valid: false },
            {
                name: "ignores a restart record for another offset",
                record: next({}, { basis: "owner", restartAtOffset: 7 }),
                valid: false,
            },
            {
                name: "ignores a share that does not exist",
                record: next({ share: 64 }, { basis: "owner" }),
                valid: false,
            },
            {
                name: "ignores a key time that is not an integer",
                record: next({ fromMs: 0.5 }, { basis: "owner" }),
                valid: false,
            },
        ];
        for (const { name, record, valid } of cases) {
            it(name, () => {
                const driver = new OwnershipDriver(alpha);
                driver.append(assign({}));
                driver.append(record);
                expect(driver.term()?.owner).to.deep.equal(valid ? beta.daemon : alpha.daemon);
            });
        }

        it("ignores an assignment at the former cap of a term whose cap was raised", () => {
            const driver = new OwnershipDriver(alpha);
            driver.append(assign({}));
            driver.append(extend({ entry: { capMs: START_MS + 90_000 } }));
            driver.append(next({ fromMs: START_MS + 60_000 }, { basis: "expired", writer: member("gamma").daemon }));
            expect(driver.term()?.term).to.equal(1);
        });

        it("starts a term at the bound of an extension that precedes it", () => {
            const driver = new OwnershipDriver(alpha);
            driver.append(assign({}));
            driver.append(extend({}));
            driver.append(next({ fromMs: START_MS + 1_000 }, { basis: "guardian", writer: beta.daemon }));
            expect(driver.term()?.fromMs).to.equal(START_MS + 6_000);
        });

        it("ignores an extension that follows the end of its term", () => {
            const driver = new OwnershipDriver(alpha);
            driver.append(assign({}));
            driver.append(next({ fromMs: START_MS + 1_000 }, { basis: "guardian", writer: beta.daemon }));
            driver.append(extend({}));
            expect(selectTerms(driver.state).map(term => term.boundMs)).to.deep.equal([START_MS, START_MS + 1_000]);
        });

        it("never lowers a bound or a cap", () => {
            const driver = new OwnershipDriver(alpha);
            driver.append(assign({}));
            driver.append(extend({}));
            driver.append(extend({ entry: { boundMs: START_MS + 10, capMs: START_MS + 10 } }));
            expect(driver.term()).to.include({ boundMs: START_MS + 6_000, capMs: START_MS + 60_000 });
        });

        it("ignores and counts records of unknown format", () => {
            const driver = new OwnershipDriver(alpha);
            for (const value of [17, undefined, { type: "vote" }, { type: "extend", recordId: "x", entries: [] }]) {
                driver.append(value);
            }
            expect(selectOwnershipHealth(driver.state, 0)).to.include({ malformedRecords: 4, sharesOwned: 0 });
        });
    });

    describe("bounds of an owner", () => {
        it("does not use an extension before reading it back", () => {
            const driver = new OwnershipDriver(alpha);
            driver.append(assign({}));
            const [record] = appended(driver.tick(10), "extend");
            driver.send({
                type: "append-settled",
                atMs: 20,
                recordId: String(record?.["recordId"]),
                result: "appended",
            });
            expect(selectOwnBounds(driver.state).get(0)).to.equal(START_MS);
            driver.append(record);
            expect(selectOwnBounds(driver.state).get(0)).to.equal(START_MS + 6_010);
        });

        it("uses no promise above the end of a term that it tried to hand over, even if the append failed", () => {
            const driver = new OwnershipDriver(alpha);
            driver.append(assign({}));
            driver.send({ type: "members-changed", atMs: 0, members: [beta] });
            driver.tick(10);
            driver.send(promise(START_MS + 4_000));
            const [record] = appended(
                driver.send({ type: "stop-started", atMs: 20, wallMs: START_MS + 20 }),
                "assign",
            );
            expect(record).to.have.nested.property("entries[0].fromMs", START_MS + 4_000);
            driver.send({ type: "append-settled", atMs: 30, recordId: String(record?.["recordId"]), result: "failed" });
            driver.send(promise(START_MS + 5_000));
            expect(selectOwnBounds(driver.state).get(0)).to.equal(START_MS + 4_000);
        });

        it("ignores a promise for an earlier term of a share that it owns again", () => {
            const driver = new OwnershipDriver(alpha);
            driver.append(assign({}));
            driver.append(assign({ basis: "owner", entry: { term: 2, owner: beta.daemon, guardian: alpha.daemon } }));
            driver.append(assign({
                basis: "owner",
                writer: beta.daemon,
                entry: { term: 3, guardian: beta.daemon, fromMs: START_MS + 1_000 },
            }));
            driver.send(promise(START_MS + 5_000, 1));
            expect(selectOwnBounds(driver.state).get(0)).to.equal(START_MS + 1_000);
        });

        it("does not own the shares of an earlier incarnation", () => {
            const driver = new OwnershipDriver(member("alpha", "2"));
            driver.append(assign({}));
            driver.append(extend({}));
            expect(selectOwnBounds(driver.state).size).to.equal(0);
        });
    });

    describe("promises of a guardian", () => {
        const promisedBounds = (driver: OwnershipDriver, event: OwnershipEvent) =>
            driver.send(event).flatMap(effect =>
                effect.type === "answer-promise" ? effect.reply.promises.map(entry => entry.boundMs) : []
            );
        const guarding = () => {
            const driver = new OwnershipDriver(beta);
            driver.append(assign({}));
            driver.tick(10);
            return driver;
        };

        it("promises the wanted bound, limited by the cap and by its own clock", () => {
            const driver = guarding();
            expect(promisedBounds(driver, request(START_MS + 5_000))).to.deep.equal([START_MS + 5_000]);
            expect(promisedBounds(driver, request(START_MS + 3_600_000))).to.deep.equal([START_MS + 8_000]);
            const capped = new OwnershipDriver(beta);
            capped.append(assign({ entry: { capMs: START_MS + 2_000 } }));
            capped.tick(10);
            expect(promisedBounds(capped, request(START_MS + 5_000))).to.deep.equal([START_MS + 2_000]);
        });

        it("refuses an owner with an older configuration", () => {
            const driver = guarding();
            driver.send({ type: "configuration-changed", atMs: 0, version: 3 });
            expect(promisedBounds(driver, request(START_MS + 5_000, 2))).to.deep.equal([]);
            expect(promisedBounds(driver, request(START_MS + 5_000, 3))).to.deep.equal([START_MS + 5_000]);
        });

        it("takes over at its highest promise and makes no further promises, even if the append failed", () => {
            const driver = guarding();
            promisedBounds(driver, request(START_MS + 5_000));
            const records = [1_000, 1_000, 1_100].flatMap(forMs => {
                driver.tick(forMs);
                driver.read();
                return appended(driver.effects.splice(0), "assign");
            });
            expect(records).to.have.length(1);
            expect(records[0]).to.have.nested.property("entries[0].fromMs", START_MS + 5_000);
            driver.send({ type: "append-settled", atMs: driver.atMs, recordId: "x", result: "failed" });
            expect(promisedBounds(driver, request(START_MS + 5_000))).to.deep.equal([]);
        });

        it("does not take over while the log is unavailable, as the owner could not continue without it", () => {
            const driver = guarding();
            driver.send({ type: "log-unavailable", atMs: 10 });
            driver.tick(1_400);
            driver.tick(1_400);
            driver.tick(1_400);
            expect(appended(driver.effects, "assign")).to.deep.equal([]);
            expect(promisedBounds(driver, request(START_MS + 5_000))).to.deep.equal([START_MS + 5_000]);
        });

        it("does not take over after a pause of its own", () => {
            const driver = guarding();
            driver.tick(20_000);
            driver.read();
            driver.tick(100);
            expect(appended(driver.effects, "assign")).to.deep.equal([]);
        });
    });

    describe("truncation of the log", () => {
        it("owns no shares without a snapshot, and adopts one that covers the lost records", () => {
            const driver = new OwnershipDriver(alpha);
            driver.records.push(assign({}), extend({}), extend({}));
            driver.firstOffset = 2;
            driver.read();
            expect(selectOwnershipHealth(driver.state, 0)).to.include({ synchronized: false, sharesOwned: 0 });
            const terms = [{ ...assign({}).entries[0], boundMs: START_MS }];
            driver.append({ type: "snapshot", recordId: "old", throughOffset: 0, terms });
            expect(selectOwnBounds(driver.state).size).to.equal(0);
            driver.append({ type: "snapshot", recordId: "new", throughOffset: 1, terms });
            driver.read();
            expect(selectOwnBounds(driver.state).get(0)).to.equal(START_MS + 6_000);
        });

        it("restarts a truncated and empty stream above all lost caps and term numbers", () => {
            const driver = new OwnershipDriver(alpha);
            driver.records.push(assign({}), extend({}), extend({}));
            driver.firstOffset = 3;
            driver.send({ type: "members-changed", atMs: 0, members: [beta] });
            driver.read();
            driver.tick(600);
            const [record] = appended(driver.effects, "assign");
            expect(record).to.include({ restartAtOffset: 3 });
            driver.append(record);
            expect(driver.term()).to.include({ term: 4, fromMs: START_MS + 60_600 });
            expect(selectOwnershipHealth(driver.state, 0)).to.include({ synchronized: true, sharesWithoutTerm: 0 });
        });

        it("ignores a restart record that was appended at another offset", () => {
            const driver = new OwnershipDriver(alpha);
            driver.records.push(assign({}), extend({}), extend({}));
            driver.firstOffset = 3;
            driver.send({ type: "members-changed", atMs: 0, members: [beta] });
            driver.read();
            driver.tick(600);
            const [record] = appended(driver.effects, "assign");
            driver.append(extend({}));
            driver.append(record);
            expect(selectTerms(driver.state)).to.deep.equal([]);
        });

        it("ignores a delayed record from before a restart", () => {
            const driver = new OwnershipDriver(alpha);
            driver.records.push(assign({}), extend({}), extend({}));
            driver.firstOffset = 3;
            driver.send({ type: "members-changed", atMs: 0, members: [beta] });
            driver.read();
            driver.tick(600);
            driver.append(appended(driver.effects, "assign")[0]);
            const current = driver.term();
            for (const writer of [alpha, beta]) {
                for (const basis of ["owner", "guardian"]) {
                    driver.append(assign({ basis, writer: writer.daemon, entry: { term: 2 } }));
                }
            }
            driver.append(extend({}));
            expect(driver.term()).to.equal(current);
        });

        it("does not restart a stream that still has records but no snapshot", () => {
            const driver = new OwnershipDriver(alpha);
            driver.records.push(assign({}), extend({}), extend({}));
            driver.firstOffset = 2;
            driver.send({ type: "members-changed", atMs: 0, members: [beta] });
            driver.read();
            driver.tick(10_000);
            expect(appended(driver.effects, "assign")).to.deep.equal([]);
        });

        it("writes a snapshot every quarter of the retention time", () => {
            const driver = new OwnershipDriver(alpha);
            driver.append(assign({}));
            driver.send({ type: "members-changed", atMs: 0, members: [beta] });
            driver.tick(899_000);
            driver.read();
            expect(appended(driver.tick(500), "snapshot")).to.deep.equal([]);
            expect(appended(driver.tick(1_000), "snapshot")).to.have.length(1);
            expect(appended(driver.tick(1_000), "snapshot")).to.deep.equal([]);
        });
    });
});
