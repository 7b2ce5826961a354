import { BodyBudget, BodyCollector, type BodyLimit } from "@marigoldstall/core.http-body";
import { expect } from "chai";

const KILOBYTE = 1_024;

describe("BodyCollector", () => {
    const exceeded: string[] = [];

    const collect = (name: string, opts: { readonly maxBytes?: number; readonly budget?: BodyBudget; } = {}) =>
        new BodyCollector({
            maxBytes: opts.maxBytes ?? 64 * KILOBYTE,
            ...opts.budget === undefined ? {} : { budget: opts.budget },
            onExceeded: (limit: BodyLimit) => {
                exceeded.push(`${name}: ${limit}`);
            },
        });

    beforeEach(() => {
        exceeded.length = 0;
    });

    it("returns the pieces in their order", () => {
        const body = collect("a");
        for (let index = 0; index < 5_000; index += 1) {
            body.append(Buffer.from(`${index},`));
        }
        expect(body.complete().toString()).to.equal(`${[...Array(5_000).keys()].join(",")},`);
        expect(body.byteCount).to.equal(body.complete().length);
    });

    it("accepts a body of exactly the limit and drops a larger one once", () => {
        const body = collect("a", { maxBytes: 10 });
        body.append(Buffer.alloc(10));
        expect(exceeded).to.deep.equal([]);
        body.append(Buffer.alloc(1));
        body.append(Buffer.alloc(1));
        expect(exceeded).to.deep.equal(["a: body-size"]);
        expect(body.byteCount).to.equal(0);
    });

    // A response without end in pieces of 8 bytes filled the heap with piece objects and ended the process.
    it("takes memory by the bytes of a body, not by its pieces", () => {
        const budget = new BodyBudget({ maxBytes: 1_000 * KILOBYTE });
        const body = collect("a", { maxBytes: 500 * KILOBYTE, budget });
        const piece = Buffer.from("a");
        for (let index = 0; index < 200 * KILOBYTE; index += 1) {
            body.append(piece);
        }
        expect(budget.usedBytes).to.be.within(200 * KILOBYTE, 400 * KILOBYTE);
        expect(body.complete().length).to.equal(200 * KILOBYTE);
    });

    describe("with a budget for all bodies", () => {
        // Each of many responses without end stayed within its own limit, and together they took all memory.
        it("drops the largest incomplete body", () => {
            const budget = new BodyBudget({ maxBytes: 10 * KILOBYTE });
            const small = collect("small", { budget });
            const large = collect("large", { budget });
            const growing = collect("growing", { budget });
            small.append(Buffer.alloc(KILOBYTE));
            large.append(Buffer.alloc(6 * KILOBYTE));
            growing.append(Buffer.alloc(5 * KILOBYTE));
            expect(exceeded).to.deep.equal(["large: total-size"]);
            expect(budget.usedBytes).to.equal(6 * KILOBYTE);
            expect(small.complete().length).to.equal(KILOBYTE);
            expect(growing.complete().length).to.equal(5 * KILOBYTE);
        });

        it("drops the growing body if it is the largest", () => {
            const budget = new BodyBudget({ maxBytes: 10 * KILOBYTE });
            const other = collect("other", { budget });
            other.append(Buffer.alloc(4 * KILOBYTE));
            const growing = collect("growing", { budget });
            growing.append(Buffer.alloc(5 * KILOBYTE));
            growing.append(Buffer.alloc(2 * KILOBYTE));
            expect(exceeded).to.deep.equal(["growing: total-size"]);
            expect(budget.usedBytes).to.equal(4 * KILOBYTE);
        });

        it("does not drop a complete body, and counts it until it is released", () => {
            const budget = new BodyBudget({ maxBytes: 10 * KILOBYTE });
            const complete = collect("complete", { budget });
            complete.append(Buffer.alloc(8 * KILOBYTE));
            expect(complete.complete().length).to.equal(8 * KILOBYTE);
            const first = collect("first", { budget });
            first.append(Buffer.alloc(4 * KILOBYTE));
            expect(exceeded).to.deep.equal(["first: total-size"]);
            complete.release();
            complete.release();
            expect(budget.usedBytes).to.equal(0);
            const second = collect("second", { budget });
            second.append(Buffer.alloc(4 * KILOBYTE));
            expect(exceeded).to.deep.equal(["first: total-size"]);
        });
    });
});
