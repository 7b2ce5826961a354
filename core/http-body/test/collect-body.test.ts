import { BodyCollector, collectBody } from "@marigoldstall/core.http-body";
import { expect } from "chai";
import { once } from "node:events";
import { Readable } from "node:stream";

const PIECES = 2_500;

describe("collectBody", () => {
    // A response without end in chunks of 8 bytes kept the event loop busy for over 300 ms at a time, and the responses of
    // other servers came late.
    it("pauses a message in tiny pieces, so that other connections are read meanwhile", async () => {
        const message = Readable.from([...Array(PIECES)].map(() => Buffer.from("a")));
        const collector = new BodyCollector({ maxBytes: PIECES, onExceeded: () => undefined });
        collectBody(message, collector, { nowMs: () => 0 });
        const countsAtPause: number[] = [];
        message.on("pause", () => {
            countsAtPause.push(collector.byteCount);
        });
        await once(message, "end");
        expect(countsAtPause).to.deep.equal([1_000, 2_000]);
        expect(collector.byteCount).to.equal(PIECES);
    });
});
