import type { BodyLimit } from "@marigoldstall/core.http-body";
import { expect } from "chai";
import { BlockPool } from "../src/block-pool.js";
import { CallerMemory } from "../src/caller-memory.js";
import { PooledBody } from "../src/pooled-body.js";
import { SegmentedBody } from "../src/segmented-body.js";

const KILOBYTE = 1_024;
const MAX_BYTES = 1_600 * KILOBYTE;

describe("CallerMemory with pooled bodies", () => {
    let nowMs: number;
    let pool: BlockPool;
    let memory: CallerMemory;
    let exceeded: string[];

    beforeEach(() => {
        nowMs = 0;
        pool = new BlockPool();
        exceeded = [];
        memory = new CallerMemory({ maxBytes: MAX_BYTES, nowMs: () => nowMs });
    });

    const collect = (name: string, reservations = memory.requests): PooledBody =>
        new PooledBody({
            maxBytes: 4 * MAX_BYTES,
            reservations,
            pool,
            onExceeded: (limit: BodyLimit) => {
                exceeded.push(`${name}: ${limit}`);
            },
        });

    it("returns bodies of any size and in pieces of any size as they were sent", () => {
        for (const pieceBytes of [1, 1_000, 65_536, 100_000]) {
            const sent = Buffer.from([...Array(200_000).keys()].map(value => value % 251));
            for (const bytes of [0, 1, 32 * KILOBYTE, 32 * KILOBYTE + 1, 64 * KILOBYTE, 200_000]) {
                const body = collect("a");
                for (let start = 0; start < bytes; start += pieceBytes) {
                    body.append(sent.subarray(start, Math.min(bytes, start + pieceBytes)));
                }
                const complete = body.complete();
                expect(complete.length).to.equal(bytes);
                expect(complete.subarray(0).equals(sent.subarray(0, bytes))).to.equal(true);
                expect(complete.subarray(bytes - 10).equals(sent.subarray(0, bytes).subarray(bytes - 10)))
                    .to.equal(true);
                body.release();
            }
        }
        expect(memory.usedBytes).to.equal(0);
    });

    // Guards against bytes of one caller in the request of another.
    it("uses blocks again only once the owner and all other users have released them", () => {
        const first = collect("first");
        first.append(Buffer.alloc(128 * KILOBYTE, "a"));
        const sent = first.complete();
        expect(sent).to.be.instanceOf(SegmentedBody);
        const releaseAttempt = first.retain();
        first.release();
        const second = collect("second");
        second.append(Buffer.alloc(128 * KILOBYTE, "b"));
        expect(sent.toString()).to.equal("a".repeat(128 * KILOBYTE));
        releaseAttempt();
        releaseAttempt();
        const third = collect("third");
        third.append(Buffer.alloc(128 * KILOBYTE, "c"));
        const fourth = collect("fourth");
        fourth.append(Buffer.alloc(128 * KILOBYTE, "d"));
        expect(second.complete().toString()).to.equal("b".repeat(128 * KILOBYTE));
        expect(third.complete().toString()).to.equal("c".repeat(128 * KILOBYTE));
        expect(sent.toString()).to.not.contain("a");
    });

    it("does not use the blocks of a response again that may still be on its way", () => {
        const response = collect("response", memory.responses);
        response.append(Buffer.alloc(100 * KILOBYTE, "a"));
        const sent = response.complete();
        response.forfeit();
        response.release();
        collect("next").append(Buffer.alloc(100 * KILOBYTE, "b"));
        expect(sent.toString()).to.equal("a".repeat(100 * KILOBYTE));
        expect(memory.usedBytes).to.equal(100 * KILOBYTE + 28 * KILOBYTE);
    });

    // Load: large bodies take all memory, and the body of an ordinary request has 20 KB.
    it("refuses large bodies before small ones", () => {
        const large = collect("large");
        large.append(Buffer.alloc(1_408 * KILOBYTE));
        expect(large.complete().length).to.be.greaterThan(0);
        const other = collect("other");
        other.append(Buffer.alloc(100 * KILOBYTE));
        const small = collect("small");
        small.append(Buffer.alloc(20 * KILOBYTE));
        expect(exceeded).to.deep.equal(["other: total-size"]);
        expect(small.complete().length).to.equal(20 * KILOBYTE);
    });

    // Load: callers stop just short of the end of their bodies and keep their connections open.
    it("drops a stalled body for one in progress", () => {
        const stalled = collect("stalled");
        stalled.append(Buffer.alloc(500 * KILOBYTE));
        nowMs = 2_000;
        const active = collect("active");
        active.append(Buffer.alloc(1_200 * KILOBYTE));
        expect(exceeded).to.deep.equal(["stalled: total-size"]);
        expect(active.complete().length).to.equal(1_200 * KILOBYTE);
    });

    // Load: callers that do not read hold all memory with their responses.
    it("closes the connection of a caller that does not read, and not that of one that does", () => {
        const closed: string[] = [];
        for (const name of ["unread", "read"]) {
            const response = collect(name, memory.responses);
            response.append(Buffer.alloc(700 * KILOBYTE));
            response.complete();
            memory.markWriting(response, () => {
                closed.push(name);
                response.forfeit();
            });
            nowMs += 1_000;
            memory.noteWritten(response);
            if (name === "unread") {
                nowMs += 1_000;
            }
        }
        const next = collect("next", memory.responses);
        next.append(Buffer.alloc(300 * KILOBYTE));
        expect(closed).to.deep.equal(["unread"]);
        expect(exceeded).to.deep.equal([]);
    });
});
