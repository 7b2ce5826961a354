import { expect } from "chai";
import { EntrySite } from "./entry-site.js";

const SETTLE_MS = 1_500;
// More would have to wait longer than they may, by the estimate of a VM that has just started.
const REQUESTS_AT_ONCE = 4;
const REQUESTS = 12;
const STATUS_OK = 200;
const ENTRY = {
    service: "one",
    address: "127.0.0.4:8080",
    zone: "zone-0",
    version: "v1",
    capacity: 2,
    state: "ready",
    warmupLeft: "0ms",
    seq: 1,
    born: 1,
};
const ODD_ENTRIES: readonly (readonly [string, string])[] = [
    ["nested arrays", "[".repeat(100_000) + "]".repeat(100_000)],
    ["opening brackets alone", "[".repeat(250_000)],
    [
        "nested objects as address",
        JSON.stringify({ ...ENTRY, address: "@" }).replace(
            "\"@\"",
            `${"{\"a\":".repeat(30_000)}1${"}".repeat(30_000)}`,
        ),
    ],
    ["a capacity beyond the largest number", JSON.stringify({ ...ENTRY, capacity: "@" }).replace("\"@\"", "1e999")],
    ["a capacity of 1e15", JSON.stringify({ ...ENTRY, capacity: 1e15 })],
    ["a port out of range", JSON.stringify({ ...ENTRY, address: "127.0.0.4:99999" })],
    ["a long service name", JSON.stringify({ ...ENTRY, service: "a".repeat(200_000) })],
];

// Machines that read such an entry ended again and again, or stopped following the list (reported by other operators).
describe("EntryDaemons that read an odd entry among those of the servers", () => {
    let site: EntrySite;

    afterEach(async () => {
        await site.stop();
    });

    const expectServed = async (): Promise<void> => {
        const outcomes = await site.send(REQUESTS_AT_ONCE);
        expect(outcomes.map(({ statusCode }) => statusCode)).to.deep.equal([...Array(outcomes.length)].fill(STATUS_OK));
    };

    it("serve requests and follow the list when it holds them at the start", async () => {
        site = new EntrySite({ vmCount: 2 });
        await site.start({
            instanceIds: ["a", "b"],
            whenStored: () => {
                site.publish(1);
                for (const [, text] of ODD_ENTRIES) {
                    site.store.putRegistration(`odd-${text.length}`, text);
                }
                site.register("a");
            },
        });
        await site.wait(SETTLE_MS);
        await expectServed();
        site.register("b");
        await site.wait(SETTLE_MS);
        expect(await site.findUsedServers(REQUESTS)).to.deep.equal(["a", "b"]);
    }).timeout(60_000);

    for (const [what, text] of ODD_ENTRIES) {
        it(`keep using a server whose entry is replaced by ${what}, and follow the list`, async () => {
            site = new EntrySite({ vmCount: 1 });
            await site.start({
                instanceIds: ["a", "b"],
                whenStored: () => {
                    site.publish(1);
                    site.register("a");
                },
            });
            await site.wait(SETTLE_MS);
            site.store.putRegistration("a", text);
            await site.wait(SETTLE_MS);
            await expectServed();
            site.register("b");
            await site.wait(SETTLE_MS);
            expect(await site.findUsedServers(REQUESTS)).to.deep.equal(["a", "b"]);
        }).timeout(60_000);
    }
});
