import { expect } from "chai";
import type { MemoryHolder } from "../src/memory-holder.js";
import { selectYieldingHolder } from "../src/select-yielding-holder.js";

const MEGABYTE = 1_024 * 1_024;
const NOW_MS = 100_000;

interface NamedHolder extends MemoryHolder {
    readonly name: string;
}

const holder = (
    name: string,
    phase: MemoryHolder["phase"],
    opts: { readonly megabytes: number; readonly ageMs?: number; readonly silentMs?: number; },
): NamedHolder => ({
    name,
    phase,
    heldBytes: opts.megabytes * MEGABYTE,
    startedAtMs: NOW_MS - (opts.ageMs ?? 500),
    progressAtMs: NOW_MS - (opts.silentMs ?? 0),
});

const select = (growing: NamedHolder, others: readonly NamedHolder[]): string | undefined =>
    selectYieldingHolder([growing, ...others], { nowMs: NOW_MS, growing, growthBytes: MEGABYTE })?.name;

describe("selectYieldingHolder", () => {
    const growing = holder("growing", "receiving", { megabytes: 1 });

    // Load: sixty callers stop just short of the end of 8 MB each, and ordinary callers go on sending.
    it("selects the stalled body that holds the most for the longest, before one in progress that is larger", () => {
        expect(select(growing, [
            holder("in progress", "receiving", { megabytes: 60, ageMs: 60_000 }),
            holder("short", "receiving", { megabytes: 8, silentMs: 2_000 }),
            holder("long", "receiving", { megabytes: 6, silentMs: 9_000 }),
            holder("small", "receiving", { megabytes: 0.1, silentMs: 20_000 }),
        ])).to.equal("long");
    });

    // Load: callers that ask for large responses and do not read them.
    it("selects a response whose caller has stopped reading, and never one that is read", () => {
        const response = holder("response", "response", { megabytes: 1 });
        expect(select(response, [
            holder("read", "writing", { megabytes: 16, silentMs: 500 }),
            holder("unread", "writing", { megabytes: 8, silentMs: 3_000 }),
        ])).to.equal("unread");
        expect(select(response, [holder("read", "writing", { megabytes: 16, silentMs: 500 })])).to.equal("response");
    });

    // Load: all callers of a crowd send at once, so that nobody has stalled yet.
    it("selects among bodies in progress by size and age, and never one below the mean", () => {
        expect(select(growing, [
            holder("old and small", "receiving", { megabytes: 0.3, ageMs: 90_000 }),
            holder("large", "receiving", { megabytes: 8, ageMs: 2_000 }),
            holder("new and large", "receiving", { megabytes: 8, ageMs: 100 }),
        ])).to.equal("large");
    });

    it("selects nobody where requests that were passed on hold everything", () => {
        const small = holder("small", "receiving", { megabytes: 0.1 });
        const forwarded = [1, 2, 3].map(() => holder("forwarded", "forwarded", { megabytes: 20, silentMs: 9_000 }));
        expect(select(small, forwarded)).to.equal(undefined);
    });

    // A response that fails is a 502, which leaves open whether the request ran. A body that is refused has not run.
    it("prefers a request that was not passed on to a response, and then the largest response", () => {
        const response = holder("response", "response", { megabytes: 1 });
        const larger = holder("larger response", "response", { megabytes: 12 });
        expect(select(response, [larger, holder("body", "receiving", { megabytes: 0.1 })])).to.equal("body");
        expect(select(response, [larger])).to.equal("larger response");
    });
});
