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

const ownShare = (usableFromMs: number, usableUntilMs: number): MeasuringEvent => ({
    type: "shares-changed",
    atMs: 0,
    shares: [{ share: 0, usableFromMs, usableUntilMs }],
});

describe("reduceMeasuring", () => {
    describe("when a probe unit may be spent", () => {
        const budget: MeasuringEvent = { type: "budget-changed", atMs: 0, probesPerSecond: 1 };
        const cases = [
            {
                name: "not within 3 s of the start of the term, while the former owner may still probe",
                at: 12_999,
                sent: 0,
            },
            { name: "from 3 s after the effective start of the term on", at: 13_000, sent: 1 },
            { name: "not from the bound on, as another daemon may own the share", at: 20_000, sent: 0 },
        ];
        for (const { name, at, sent } of cases) {
            it(name, () => {
                expect(reduceAll([budget, ownShare(10_000, 20_000), tickAt(at)]).probes).to.have.length(sent);
            });
        }

        it("sends nothing with a budget of 0 or one that was lowered to 0", () => {
            const lowered: MeasuringEvent = { type: "budget-changed", atMs: 0, probesPerSecond: 0 };
            expect(reduceAll([ownShare(0, 99_000), tickAt(9000)]).probes).to.be.empty;
            expect(reduceAll([budget, lowered, ownShare(0, 99_000), tickAt(9000)]).probes).to.be.empty;
        });

        it("does not spend a unit again within a second when its share is lost and regained or the budget changes", () => {
            const lost: MeasuringEvent = { type: "shares-changed", atMs: 0, shares: [] };
            const events = [budget, ownShare(0, 99_000), tickAt(9000), lost, ownShare(0, 99_000), budget, tickAt(9900)];
            expect(reduceAll(events).probes).to.deep.equal([9000]);
        });

        it("does not probe a backend server again while its first probe is pending", () => {
            const largeBudget: MeasuringEvent = { type: "budget-changed", atMs: 0, probesPerSecond: 128 };
            const tick: MeasuringEvent = { type: "tick", atMs: 9000, wallMs: 9000, candidates: ["127.0.0.1:9000"] };
            expect(reduceAll([largeBudget, ownShare(0, 99_000), tick, { ...tick, atMs: 9050 }]).probes).to.have.length(
                1,
            );
        });
    });

    describe("fleet-wide budget", () => {
        // Consecutive owners of each share. Each has its own clock skew, loop interval, pauses and delayed writes.
        const handoverArbitrary = fc.record({
            durationMs: fc.integer({ min: 0, max: 15_000 }),
            gapMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 1500 })),
            daemon: fc.nat({ max: 3 }),
        });
        const daemonArbitrary = fc.record({
            skewMs: fc.oneof(fc.constantFrom(0, 2000), fc.integer({ min: 0, max: 2000 })),
            loopMs: fc.integer({ min: 7, max: 400 }),
            // Every so many loops, the daemon pauses between a tick and the write of its probes.
            pauseEvery: fc.integer({ min: 2, max: 40 }),
            pauseMs: fc.integer({ min: 0, max: 5000 }),
        });
        const scenario = fc.record({
            budget: fc.oneof(fc.constant(0), fc.double({ min: 0, max: 150, noNaN: true })),
            daemons: fc.array(daemonArbitrary, { minLength: 4, maxLength: 4 }),
            handovers: fc.array(fc.array(handoverArbitrary, { minLength: 1, maxLength: 8 }), {
                minLength: 4,
                maxLength: 20,
            }),
        });

        it("holds in every second of real time, across handovers, clock skew and pauses", () => {
            let totalSent = 0;
            fc.assert(
                fc.property(scenario, ({ budget, daemons, handovers }) => {
                    const sentAtMs: number[] = [];
                    const sentByUnit = new Map<number, number[]>();
                    daemons.forEach(({ skewMs, loopMs, pauseEvery, pauseMs }, index) => {
                        const shares = handovers.flatMap((chain, share) => {
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
                        let loopCount = 0;
                        for (let realMs = 8000; realMs < 60_000; realMs += loopMs) {
                            loopCount += 1;
                            // Terms are known before they start, which is the worst case for an overlap.
                            send({ type: "shares-changed", atMs: realMs, shares });
                            const effects = send({
                                type: "tick",
                                atMs: realMs,
                                wallMs: realMs + skewMs,
                                candidates: ADDRESSES,
                            });
                            realMs += loopCount % pauseEvery === 0 ? pauseMs : Math.min(90, loopMs / 3);
                            for (const effect of effects) {
                                if (realMs <= effect.notAfterAtMs && realMs + skewMs < effect.beforeWallMs) {
                                    sentAtMs.push(realMs);
                                    sentByUnit.set(effect.unit, [...sentByUnit.get(effect.unit) ?? [], realMs]);
                                }
                            }
                        }
                    });
                    // The total alone would hide a unit that is spent twice while another one is not spent.
                    for (const [unit, unitSentAtMs] of sentByUnit) {
                        unitSentAtMs.sort((left, right) => left - right);
                        unitSentAtMs.slice(1).forEach((atMs, index) => {
                            expect(atMs - (unitSentAtMs[index] ?? 0), `unit ${unit}`).to.be.at.least(1000);
                        });
                    }
                    sentAtMs.sort((left, right) => left - right);
                    totalSent += sentAtMs.length;
                    const allowed = Math.floor(budget);
                    sentAtMs.forEach((atMs, first) => {
                        const next = sentAtMs[first + allowed];
                        expect(next === undefined || next - atMs >= 1000, `${allowed} at ${atMs}`).to.equal(true);
                    });
                }),
                { seed: SEED, numRuns: 300, endOnFailure: true },
            );
            // Ensures that the property does not hold only because nothing was sent.
            expect(totalSent).to.be.greaterThan(1000);
        });
    });
});
