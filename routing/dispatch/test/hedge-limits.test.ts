import { expect } from "chai";
import fc from "fast-check";
import { HedgeModel } from "./hedge-model.js";

const WINDOW_MS = 10_000;
const MAX_CREDIT = 4;
const RETRY_RATIO = 0.2;

// Counts in the window that ends at `atMs`.
const countUntil = (timesMs: readonly number[], atMs: number, windowMs = WINDOW_MS): number =>
    timesMs.filter(timeMs => timeMs > atMs - windowMs && timeMs <= atMs).length;

const expectWithinLimits = (model: HedgeModel, opts: { readonly share: number; readonly extra: number; }): void => {
    const { arrivalsAtMs, sends } = model;
    const hedgesAtMs = sends.filter(({ kind }) => kind === "hedge").map(({ atMs }) => atMs);
    const resendsAtMs = sends.filter(({ kind }) => kind !== "send").map(({ atMs }) => atMs);
    for (const [index, atMs] of hedgesAtMs.entries()) {
        const requests = countUntil(arrivalsAtMs, atMs);
        expect(countUntil(hedgesAtMs, atMs), "hedges in the budget window").to.be.at.most(
            Math.max(1, opts.share * requests),
        );
        // Sums of credits are not exact.
        const all = countUntil(arrivalsAtMs, atMs, Infinity);
        expect(index + 1, "hedges since the start").to.be.at.most(opts.share * all + 1e-6);
        for (const [from, fromMs] of hedgesAtMs.slice(0, index).entries()) {
            const earned = opts.share * arrivalsAtMs.filter(timeMs => timeMs >= fromMs && timeMs <= atMs).length;
            expect(index - from + 1, "hedges between two").to.be.at.most(MAX_CREDIT + earned + 1e-6);
        }
    }
    for (const atMs of resendsAtMs) {
        const allowed = RETRY_RATIO * countUntil(arrivalsAtMs, atMs) + opts.extra;
        expect(countUntil(resendsAtMs, atMs), "hedges and retries").to.be.at.most(allowed);
    }
};

describe("routing.dispatch, limits of hedges", () => {
    // Load of the fault: several servers become slow at once, when a VM has saved up credit.
    it("hold in a burst of slow requests", () => {
        const share = 0.02;
        const model = new HedgeModel({
            seed: 0.3,
            hedgeShare: share,
            requests: 2_000,
            perSecond: 100,
            slowness: (server, elapsedMs) => server < 3 && elapsedMs > 8_000 ? 8 : 1,
        }).run();
        expect(model.count("hedge")).to.be.greaterThan(5);
        expectWithinLimits(model, { share, extra: 10 });
    });

    // With a limit in whole hedges per window, a VM with few requests would never send one.
    it("let a VM with 12 requests in the window hedge now and then", () => {
        const share = 0.05;
        const model = new HedgeModel({
            seed: 0.6,
            hedgeShare: share,
            requests: 500,
            perSecond: 1.2,
            slowness: (server, elapsedMs) => server < 2 && elapsedMs > 30_000 ? 8 : 1,
        }).run();
        expect(model.count("hedge")).to.be.within(5, share * 500);
        expectWithinLimits(model, { share, extra: 10 });
    });

    it("hold for any share, load, slowness, failures and delay of checks", () => {
        fc.assert(
            fc.property(
                fc.record({
                    seed: fc.double({ min: 0.01, max: 0.99, noNaN: true }),
                    share: fc.constantFrom(0.01, 0.02, 0.05, 0.2, 1),
                    perSecond: fc.constantFrom(5, 40, 150, 300),
                    slowServers: fc.integer({ min: 0, max: 20 }),
                    factor: fc.integer({ min: 2, max: 12 }),
                    failShare: fc.constantFrom(0, 0.02, 0.2),
                    checkMs: fc.constantFrom(0, 3, 40),
                    extra: fc.constantFrom(0, 3, 20),
                    losesCancellations: fc.boolean(),
                }),
                ({ share, extra, slowServers, factor, ...opts }) => {
                    const model = new HedgeModel({
                        ...opts,
                        hedgeShare: share,
                        requests: 300,
                        budgetExtra: extra,
                        slowness: (server, elapsedMs) => server < slowServers && elapsedMs > 1_000 ? factor : 1,
                    }).run();
                    expectWithinLimits(model, { share, extra });
                },
            ),
            { numRuns: 40, seed: 7 },
        );
    }).timeout(60_000);
});
