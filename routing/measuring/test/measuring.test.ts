import { createMeasuringState, reduceMeasuring } from "@marigoldstall/routing.measuring";
import type { MeasuringEvent, MeasuringState } from "@marigoldstall/routing.measuring";
import { expect } from "chai";
import fc from "fast-check";

const SEED = 20_261_204;
const ADDRESSES = Array.from({ length: 40 }, (unused, index) => `127.0.0.1:${9000 + index}`);

const tickAt = (wallMs: number): MeasuringEvent => ({ type: "tick", atMs: wallMs, wallMs, candidates: ADDRESSES });

const reduceAll = (events: readonly MeasuringEvent[]): { state: MeasuringState; probes: number[]; } => {
    let state = createMeasuringState();
    const probes: number[] = [];
    for (const event of events) {
        const transition = reduceMeasuring(state, event);
        state = transition.state;
        probes.push(...transition.effects.map(() => event.atMs));
    }
    return { state, probes };
};

const owning = (usableFromMs: number, usableUntilMs: number): MeasuringEvent => ({
    type: "shares-changed",
    atMs: 0,
    shares: [{ share: 0, usableFromMs, usableUntilMs }],
});

describe("reduceMeasuring", () => {
    describe("when a probe unit may be spent", () => {
        const budget: MeasuringEvent = { type: "budget-changed", atMs: 0, probesPerSecond: 1 };
        const cases = [
            {
                name: "not before 3 s of the term have passed, when the former owner may still probe",
                at: 12_999,
                sent: 0,
            },
            { name: "from 3 s after the effective start of the term", at: 13_000, sent: 1 },
            { name: "not at the bound, where another daemon may own the share", at: 20_000, sent: 0 },
        ];
        for (const { name, at, sent } of cases) {
            it(name, () => {
                expect(reduceAll([budget, owning(10_000, 20_000), tickAt(at)]).probes).to.have.length(sent);
            });
        }

        it("sends nothing with budget 0, nor with a budget that was lowered to 0", () => {
            const lowered: MeasuringEvent = { type: "budget-changed", atMs: 0, probesPerSecond: 0 };
            expect(reduceAll([owning(0, 99_000), tickAt(9000)]).probes).to.be.empty;
            expect(reduceAll([budget, lowered, owning(0, 99_000), tickAt(9000)]).probes).to.be.empty;
        });

        it("does not spend a unit again at once when its share is lost and regained or the budget changes", () => {
            const lost: MeasuringEvent = { type: "shares-changed", atMs: 0, shares: [] };
            const events = [budget, owning(0, 99_000), tickAt(9000), lost, owning(0, 99_000), budget, tickAt(9900)];
            expect(reduceAll(events).probes).to.deep.equal([9000]);
        });

        it("does not probe the same backend server twice while the first answer is awaited", () => {
            const units: MeasuringEvent = { type: "budget-changed", atMs: 0, probesPerSecond: 128 };
            const tick: MeasuringEvent = { type: "tick", atMs: 9000, wallMs: 9000, candidates: ["127.0.0.1:9000"] };
            expect(reduceAll([units, owning(0, 99_000), tick, { ...tick, atMs: 9050 }]).probes).to.have.length(1);
        });
    });

    describe("the budget of the fleet", () => {
        // One owner after another per share. Each has its wall clock, its turns, its pauses and its late writes.
        const handOver = fc.record({
            durationMs: fc.integer({ min: 0, max: 15_000 }),
            gapMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 1500 })),
            daemon: fc.nat({ max: 3 }),
        });
        const daemon = fc.record({
            skewMs: fc.oneof(fc.constantFrom(0, 2000), fc.integer({ min: 0, max: 2000 })),
            turnMs: fc.integer({ min: 7, max: 400 }),
            // After this many turns the daemon pauses between the tick and the write of its probes.
            pauseEvery: fc.integer({ min: 2, max: 40 }),
            pauseMs: fc.integer({ min: 0, max: 5000 }),
        });
        const scenario = fc.record({
            budget: fc.oneof(fc.constant(0), fc.double({ min: 0, max: 150, noNaN: true })),
            daemons: fc.array(daemon, { minLength: 4, maxLength: 4 }),
            handOvers: fc.array(fc.array(handOver, { minLength: 1, maxLength: 8 }), { minLength: 4, maxLength: 20 }),
        });

        it("holds in every second of true time, over hand-overs, skewed clocks and pauses", () => {
            let sentInAll = 0;
            fc.assert(
                fc.property(scenario, ({ budget, daemons, handOvers }) => {
                    const sentAtMs: number[] = [];
                    const sentByUnit = new Map<number, number[]>();
                    daemons.forEach(({ skewMs, turnMs, pauseEvery, pauseMs }, index) => {
                        const shares = handOvers.flatMap((chain, share) => {
                            let startMs = 10_000;
                            return chain.flatMap(term => {
                                const usableFromMs = startMs + term.gapMs;
                                startMs = usableFromMs + term.durationMs;
                                return term.daemon === index ? [{ share, usableFromMs, usableUntilMs: startMs }] : [];
                            });
                        });
                        let state = createMeasuringState();
                        const send = (event: MeasuringEvent) => {
                            const transition = reduceMeasuring(state, event);
                            state = transition.state;
                            return transition.effects;
                        };
                        send({ type: "budget-changed", atMs: 0, probesPerSecond: budget });
                        let turn = 0;
                        for (let trueMs = 8000; trueMs < 60_000; trueMs += turnMs) {
                            turn += 1;
                            // Terms are learnt before they start, which is the worst case for an overlap.
                            send({ type: "shares-changed", atMs: trueMs, shares });
                            const effects = send({
                                type: "tick",
                                atMs: trueMs,
                                wallMs: trueMs + skewMs,
                                candidates: ADDRESSES,
                            });
                            trueMs += turn % pauseEvery === 0 ? pauseMs : Math.min(90, turnMs / 3);
                            for (const effect of effects) {
                                if (trueMs <= effect.notAfterAtMs && trueMs + skewMs < effect.beforeWallMs) {
                                    sentAtMs.push(trueMs);
                                    sentByUnit.set(effect.unit, [...sentByUnit.get(effect.unit) ?? [], trueMs]);
                                }
                            }
                        }
                    });
                    // The sum alone would hide a unit that is spent twice while another one is not spent.
                    for (const [unit, unitSentAtMs] of sentByUnit) {
                        unitSentAtMs.sort((left, right) => left - right);
                        unitSentAtMs.slice(1).forEach((atMs, index) => {
                            expect(atMs - (unitSentAtMs[index] ?? 0), `unit ${unit}`).to.be.at.least(1000);
                        });
                    }
                    sentAtMs.sort((left, right) => left - right);
                    sentInAll += sentAtMs.length;
                    const allowed = Math.floor(budget);
                    sentAtMs.forEach((atMs, first) => {
                        const beyond = sentAtMs[first + allowed];
                        expect(beyond === undefined || beyond - atMs >= 1000, `${allowed} at ${atMs}`).to.equal(true);
                    });
                }),
                { seed: SEED, numRuns: 300, endOnFailure: true },
            );
            // Otherwise the property would hold because nothing is ever sent.
            expect(sentInAll).to.be.greaterThan(1000);
        });
    });
});
