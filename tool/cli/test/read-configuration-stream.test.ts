import type { LogClient, LogRead, ReadOptions } from "@marigoldstall/platform.log-client";
import { expect } from "chai";
import { ok } from "neverthrow";
import { readConfigurationStream } from "../src/read-configuration-stream.js";

// The tool showed a configuration that the log had lost, and based the next one on it.
describe("readConfigurationStream", () => {
    it("starts again when the log is restored from an older copy between two reads", async () => {
        const record = (offset: number, author: string) => ({ offset, value: { author } });
        const pages: LogRead[] = [
            { firstOffset: 0, nextOffset: 4, records: [record(0, "lost"), record(1, "lost")] },
            { era: 1, firstOffset: 0, nextOffset: 1, records: [] },
            { era: 1, firstOffset: 0, nextOffset: 1, records: [record(0, "kept")] },
        ];
        const offsets: number[] = [];
        const log = {
            read: (...[, { from }]: readonly [string, ReadOptions]) => {
                offsets.push(from);
                return Promise.resolve(ok(pages.shift()));
            },
        };
        const stream = (await readConfigurationStream(log as unknown as LogClient))._unsafeUnwrap();
        expect(offsets).to.deep.equal([0, 2, 0]);
        expect(stream.fold.nextOffset).to.equal(1);
        expect(stream.outcomes.map(({ offset }) => offset)).to.deep.equal([0]);
    });
});
