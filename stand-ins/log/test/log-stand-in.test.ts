import { LogStandIn } from "@marigoldstall-private/log";
import type { LogFaultSettings, LogPage } from "@marigoldstall-private/log";
import { expect } from "chai";

describe("LogStandIn", () => {
    let log: LogStandIn;
    const url = (stream: string) => `http://${log.address}/streams/${stream}/records`;
    const append = (value: unknown, stream = "a") =>
        fetch(url(stream), { method: "POST", body: JSON.stringify(value) });
    const appendStatus = (value: unknown, stream = "a") =>
        append(value, stream).then(response => response.status, () => "connection closed");
    const read = async (query: string, stream = "a") =>
        await (await fetch(`${url(stream)}?${query}`)).json() as LogPage;
    const postFaults = (faults: LogFaultSettings & { readonly stream?: string; }) =>
        fetch(`http://${log.address}/_faults`, { method: "POST", body: JSON.stringify(faults) });

    beforeEach(async () => {
        log = await LogStandIn.start();
    });
    afterEach(async () => {
        await log.close();
    });

    describe("protocol", () => {
        it("numbers each stream from offset 0, so that all readers apply its records in the same order", async () => {
            expect(await (await append("x")).json()).to.deep.equal({ offset: 0 });
            expect((await append({ y: 1 })).status).to.equal(201);
            await append("z", "b");
            expect(await read("from=0")).to.deep.equal({
                firstOffset: 0,
                nextOffset: 2,
                records: [{ offset: 0, value: "x" }, { offset: 1, value: { y: 1 } }],
            });
            expect(await read("from=1&limit=1")).to.have.nested.property("records[0].offset", 1);
            expect((await read("from=0", "b")).nextOffset).to.equal(1);
        });

        it("completes a long poll when a record is appended, or with an empty page after `waitMs`", async () => {
            const waiting = read("from=0&waitMs=5000");
            await append("x");
            expect((await waiting).records).to.have.length(1);
            expect((await read("from=1&waitMs=20")).records).to.deep.equal([]);
        });

        // Without an answer at once, a reader that waits above the end of the copy learns of the restore seconds later.
        it("gives offsets out again after a restore, raises the era, and completes long polls", async () => {
            await append("kept");
            await new Promise(resolve => setTimeout(resolve, 400));
            await append("lost");
            await read("from=0", "b");
            const waiting = read("from=2&waitMs=30000");
            await new Promise(resolve => setTimeout(resolve, 50));
            await postFaults({ stream: "a", restoreAgeMs: 250 });
            expect(await waiting).to.deep.equal({ era: 1, firstOffset: 0, nextOffset: 1, records: [] });
            expect(await (await append("new")).json()).to.deep.equal({ offset: 1 });
            expect((await read("from=0")).records.map(({ value }) => value)).to.deep.equal(["kept", "new"]);
            expect((await read("from=0", "b")).era).to.equal(1);
            await postFaults({ restoreAgeMs: 60_000 });
            expect(await read("from=0")).to.deep.equal({ era: 2, firstOffset: 0, nextOffset: 0, records: [] });
        });

        it("starts at the oldest retained record when the requested offset has expired", async () => {
            await log.close();
            log = await LogStandIn.start({ retentionMs: 50 });
            await append("old");
            await new Promise(resolve => setTimeout(resolve, 80));
            await append("new");
            expect(await read("from=0")).to.deep.equal({
                firstOffset: 1,
                nextOffset: 2,
                records: [{ offset: 1, value: "new" }],
            });
        });

        it("responds with 429 above the append rate and does not store the record", async () => {
            await log.close();
            log = await LogStandIn.start({ appendsPerSecond: 3 });
            const statuses = [];
            for (let index = 0; index < 5; index += 1) {
                statuses.push(await appendStatus(index));
            }
            expect(statuses).to.deep.equal([201, 201, 201, 429, 429]);
            expect(log.records("a")).to.have.length(3);
        });

        for (
            const { title, path, body, status } of [
                { title: "a body that is not JSON", path: "/streams/a/records", body: "{", status: 400 },
                { title: "an unknown path", path: "/streams", body: "1", status: 404 },
                { title: "an unknown fault", path: "/_faults", body: "{\"outgae\":\"drop\"}", status: 400 },
            ]
        ) {
            it(`responds with ${status} to ${title}`, async () => {
                const response = await fetch(`http://${log.address}${path}`, { method: "POST", body });
                expect(response.status).to.equal(status);
            });
        }

        it("responds with 400 to an offset that is not a number", async () => {
            expect((await fetch(`${url("a")}?from=x`)).status).to.equal(400);
        });
    });

    describe("fault injection", () => {
        const cases: readonly {
            readonly title: string;
            readonly faults: LogFaultSettings;
            readonly statuses: readonly (number | string)[];
            readonly stored: readonly string[];
        }[] = [
            {
                title: "responds with 503 in an outage of kind `refuse`",
                faults: { outage: "refuse" },
                statuses: [503, 503],
                stored: [],
            },
            {
                title: "closes connections in an outage of kind `drop`",
                faults: { outage: "drop" },
                statuses: ["connection closed", "connection closed"],
                stored: [],
            },
            {
                title: "stores one append but loses its response",
                faults: { loseAppendAnswers: 1 },
                statuses: ["connection closed", 201],
                stored: ["first", "second"],
            },
            {
                title: "responds with 503 to one append without storing it",
                faults: { refuseAppends: 1 },
                statuses: [503, 201],
                stored: ["second"],
            },
            {
                title: "closes the connection of one append without storing it",
                faults: { dropAppends: 1 },
                statuses: ["connection closed", 201],
                stored: ["second"],
            },
        ];
        for (const { title, faults, statuses, stored } of cases) {
            for (const stream of ["a", undefined]) {
                it(`${title}, set for ${stream === undefined ? "all streams" : "one stream"}`, async () => {
                    await postFaults({ ...faults, ...(stream === undefined ? {} : { stream }) });
                    expect([await appendStatus("first"), await appendStatus("second")]).to.deep.equal(statuses);
                    expect(log.records("a").map(record => record.value)).to.deep.equal(stored);
                });
            }
        }

        it("does not affect other streams, and clears faults when they are replaced", async () => {
            await postFaults({ stream: "a", outage: "refuse" });
            expect([await appendStatus(1), await appendStatus(1, "b")]).to.deep.equal([503, 201]);
            await postFaults({ stream: "a" });
            expect(await appendStatus(1)).to.equal(201);
        });

        it("returns records from before the requested offset", async () => {
            await append("x");
            await append("y");
            await postFaults({ repeatRecords: 1 });
            expect((await read("from=1")).records.map(record => record.offset)).to.deep.equal([0, 1]);
        });

        it("removes the records below an offset", async () => {
            await append("x");
            await append("y");
            await postFaults({ stream: "a", cutBelowOffset: 2 });
            expect(await read("from=0")).to.deep.equal({ firstOffset: 2, nextOffset: 2, records: [] });
        });

        it("delays the response until after the append is stored", async () => {
            await postFaults({ slowMs: 80 });
            const startedAtMs = performance.now();
            const pendingAppend = append("x");
            await new Promise(resolve => setTimeout(resolve, 40));
            expect(log.records("a")).to.have.length(1);
            await pendingAppend;
            expect(performance.now() - startedAtMs).to.be.at.least(75);
        });
    });
});
