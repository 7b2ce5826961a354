import { expect } from "chai";
import { BufferReclaimer } from "../src/buffer-reclaimer.js";
import { computeBodyTimeMs } from "../src/compute-body-time-ms.js";
import { computeCallerCapacity } from "../src/compute-caller-capacity.js";
import { PiecePacer } from "../src/piece-pacer.js";

const MEGABYTE = 1_024 * 1_024;
const HEAP_LIMIT = { heapLimitBytes: 160 * MEGABYTE };
const LARGEST_BODY_BYTES = 64 * MEGABYTE;
const LARGE_BODY_SHARE = 15 / 16;

describe("computeCallerCapacity", () => {
    for (
        const { memoryMb, maxDescriptors } of [
            { memoryMb: 202, maxDescriptors: 2_069 },
            { memoryMb: 250, maxDescriptors: 4_100 },
            { memoryMb: 602, maxDescriptors: 8_192 },
        ]
    ) {
        it(`has room for one body of the largest size, and descriptors left, with ${memoryMb} MB`, () => {
            const capacity = computeCallerCapacity({ memoryBytes: memoryMb * MEGABYTE, maxDescriptors }, HEAP_LIMIT);
            expect(capacity.memoryBytes * LARGE_BODY_SHARE).to.be.at.least(LARGEST_BODY_BYTES);
            expect(capacity.bufferBytes).to.be.below((memoryMb - 70) * MEGABYTE);
            expect(capacity.maxConnections).to.be.within(1_000, maxDescriptors * 3 / 4);
            expect(capacity.maxRequests).to.equal(5_120);
        });
    }

    it("keeps some room whatever the settings state", () => {
        const capacity = computeCallerCapacity({ memoryBytes: 1, maxDescriptors: 1 }, HEAP_LIMIT);
        expect(capacity.memoryBytes).to.equal(16 * MEGABYTE);
        expect(capacity.maxConnections).to.equal(16);
    });
});

describe("computeBodyTimeMs", () => {
    it("grows with the size, and never falls below the idle timeout", () => {
        expect(computeBodyTimeMs({ bodyBytes: 0, idleTimeoutMs: 15_000, deadlineMs: undefined })).to.equal(15_000);
        expect(computeBodyTimeMs({ bodyBytes: 8_000_000, idleTimeoutMs: 15_000, deadlineMs: undefined }))
            .to.equal(1_015_000);
        expect(computeBodyTimeMs({ bodyBytes: 8_000_000, idleTimeoutMs: 15_000, deadlineMs: 500 })).to.equal(15_000);
    });

    it("ends a second after the caller's deadline", () => {
        expect(computeBodyTimeMs({ bodyBytes: 8_000_000, idleTimeoutMs: 15_000, deadlineMs: 30_000 }))
            .to.equal(31_000);
    });
});

describe("BufferReclaimer", () => {
    // Load: bodies that are discarded left up to 64 MB of buffers to V8, which collects them only then.
    it("collects only above the limit, and all objects at most every 100 ms", () => {
        let bufferBytes = 50 * MEGABYTE;
        let nowMs = 0;
        const collections: string[] = [];
        const reclaimer = new BufferReclaimer({
            maxBytes: 60 * MEGABYTE,
            nowMs: () => nowMs,
            readBufferBytes: () => bufferBytes,
            collect: scope => {
                collections.push(scope);
            },
        });
        reclaimer.onAllocated(MEGABYTE);
        expect(collections).to.deep.equal([]);
        bufferBytes = 60 * MEGABYTE;
        reclaimer.onAllocated(MEGABYTE);
        reclaimer.onAllocated(MEGABYTE);
        reclaimer.onAllocated(MEGABYTE / 2);
        expect(collections).to.deep.equal(["young", "all", "young"]);
        nowMs = 100;
        reclaimer.onAllocated(MEGABYTE / 2);
        expect(collections).to.deep.equal(["young", "all", "young", "young", "all"]);
    });
});

describe("PiecePacer", () => {
    // Load: sixty callers with chunks of one byte, 10,000 in each block that is read.
    it("lets the pieces of all connections through at 50,000 a second", () => {
        const pacer = new PiecePacer();
        expect(pacer.take(10_000, { nowMs: 0 })).to.equal(200);
        expect(pacer.take(10_000, { nowMs: 100 })).to.equal(300);
        expect(pacer.take(1_000, { nowMs: 5_000 })).to.equal(20);
    });
});
