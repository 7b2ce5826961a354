import { expect } from "chai";
import { EntrySite } from "./entry-site.js";

const SETTLE_MS = 2_500;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

// The records come in pages of the store, in which a record without a value takes an evacuation back.
describe("EntryDaemons whose store holds records about zones", () => {
    let site: EntrySite;

    afterEach(async () => {
        await site.stop();
    });

    const statuses = async (): Promise<
        readonly (number | undefined)[]
    > => [...new Set((await site.send(2)).map(({ statusCode }) => statusCode))];

    it("send nothing to an evacuated zone, and use it again once the record is taken back", async () => {
        site = new EntrySite({ vmCount: 2 });
        await site.start({
            instanceIds: ["a"],
            whenStored: () => {
                site.publish(1);
                site.register("a");
                site.store.evacuate("zone-1", true);
            },
        });
        await site.wait(SETTLE_MS);
        expect(await statuses()).to.deep.equal([STATUS_OK]);
        site.store.evacuate("zone-0", true);
        await site.wait(SETTLE_MS);
        expect(await statuses()).to.deep.equal([STATUS_UNAVAILABLE]);
        site.store.evacuate("zone-0", false);
        await site.wait(SETTLE_MS);
        expect(await statuses()).to.deep.equal([STATUS_OK]);
    }).timeout(60_000);
});
