import { expect } from "chai";
import { HedgeModel } from "./hedge-model.js";

const SEEDS = [0.11, 0.44, 0.77];
const REQUESTS = 1_500;

interface Figures {
    readonly p50Ms: number;
    readonly p99Ms: number;
    /** Attempts beyond the first, by request. */
    readonly extraAttempts: number;
    readonly workPerRequestMs: number;
}

const measure = (opts: {
    readonly share: number;
    readonly slowness: (server: number, elapsedMs: number) => number;
    readonly mayResend?: boolean;
}): Figures => {
    const budget = opts.mayResend === false ? { budgetRatio: 0, budgetExtra: 0 } : {};
    const models = SEEDS.map(seed =>
        new HedgeModel({
            seed,
            hedgeShare: opts.share,
            requests: REQUESTS,
            perSecond: 100,
            slowness: opts.slowness,
            ...budget,
        }).run()
    );
    const durationsMs = models.flatMap(model => model.durationsMs).sort((a, b) => a - b);
    const sum = (read: (model: HedgeModel) => number): number =>
        models.reduce((total, model) => total + read(model), 0) / models.length;
    return {
        p50Ms: Math.round(durationsMs[Math.floor(durationsMs.length * 0.5)] ?? 0),
        p99Ms: Math.round(durationsMs[Math.floor(durationsMs.length * 0.99)] ?? 0),
        extraAttempts: sum(model => model.count("hedge")) / REQUESTS,
        workPerRequestMs: sum(model => model.workPerRequestMs),
    };
};

const addToTitle = (context: Mocha.Context, figures: Readonly<Record<string, Figures>>): void => {
    if (context.test !== undefined) {
        const rows = Object.entries(figures).map(([name, row]) =>
            `${name}: p50 ${row.p50Ms} ms, p99 ${row.p99Ms} ms, ${
                (100 * row.extraAttempts).toFixed(1)
            } % extra attempts, `
            + `${row.workPerRequestMs.toFixed(1)} ms of work`
        );
        context.test.title += `\n${rows.map(row => `            ${row}`).join("\n")}`;
    }
};

// One VM, 20 servers with 4 slots, 100 ms of work, 100 requests a second (about an eighth of the capacity).
describe("routing.dispatch, figures of hedges in a model", () => {
    it("cut the slowest responses when one server in twenty is six times as slow as it reports", function() {
        const slowness = (server: number): number => server === 3 ? 6 : 1;
        const figures = {
            "no resends": measure({ share: 0, slowness, mayResend: false }),
            "share 0": measure({ share: 0, slowness }),
            "share 0.02": measure({ share: 0.02, slowness }),
            "share 0.05": measure({ share: 0.05, slowness }),
        };
        addToTitle(this, figures);
        const { "no resends": none, "share 0.02": some, "share 0.05": more } = figures;
        expect(some.p99Ms).to.be.below(none.p99Ms);
        expect(more.p99Ms).to.be.below(none.p99Ms * 0.8);
        expect(more.p50Ms).to.be.within(none.p50Ms * 0.95, none.p50Ms * 1.05);
        expect(some.extraAttempts).to.be.within(0.001, 0.02);
        expect(more.extraAttempts).to.be.within(0.001, 0.05);
        expect(more.workPerRequestMs).to.be.below(none.workPerRequestMs * 1.05);
    }).timeout(60_000);

    it("are not sent when all servers are slow alike", function() {
        const figures = { "share 0.05": measure({ share: 0.05, slowness: () => 3 }) };
        addToTitle(this, figures);
        expect(figures["share 0.05"].extraAttempts).to.equal(0);
    }).timeout(60_000);

    // The distribution of durations is that of the time before, so only the comparison of servers shows it.
    it("are hardly sent when all servers become slow at once", function() {
        const slowness = (...[, elapsedMs]: [server: number, elapsedMs: number]): number => elapsedMs > 6_000 ? 4 : 1;
        const figures = { "share 0.05": measure({ share: 0.05, slowness }) };
        addToTitle(this, figures);
        expect(figures["share 0.05"].extraAttempts).to.be.below(0.005);
    }).timeout(60_000);

    // 850 requests a second take 85 of 80 slots, and more with the slow server. Hedges while the last requests drain are no
    // extra load in an overload.
    it("are not sent in an overload, though one server is six times as slow", () => {
        const model = new HedgeModel({
            seed: 0.44,
            hedgeShare: 0.05,
            requests: 1_200,
            perSecond: 850,
            slowness: server => server === 3 ? 6 : 1,
        }).run();
        const lastArrivalAtMs = model.arrivalsAtMs.at(-1) ?? 0;
        const hedges = model.sends.filter(({ kind, atMs }) => kind === "hedge" && atMs <= lastArrivalAtMs);
        expect(hedges).to.deep.equal([]);
    }).timeout(60_000);
});
