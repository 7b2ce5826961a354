import { expect } from "chai";
import fc from "fast-check";
import type { FleetFault } from "./fleet-fault.js";
import { FleetModel } from "./fleet-model.js";
import type { FleetScenario } from "./fleet-scenario.js";

/** Runs and keys per run; together at least 100,000 keys. */
const RUNS = 50;
const KEYS_PER_RUN = 2_000;

const calm: FleetScenario = {
    seed: 1,
    daemonCount: 3,
    keyCount: 300,
    durationMs: 60_000,
    retentionMs: 3_600_000,
    messageLoss: 0,
    clockSkewMs: 0,
    callerFaults: false,
    keysFromMs: 10_000,
    faults: [],
};

/** Part of the keys made in an interval, and received by a daemon that runs, that were granted. */
const grantedPart = (model: FleetModel, fromMs = 0, toMs = Infinity): number => {
    const calls = [...model.calls.values()]
        .filter(({ key, atMs }) => atMs >= fromMs && atMs < toMs && model.receivedKeys.has(key));
    return calls.filter(({ key }) => model.checker.grantedKeys.has(key)).length / calls.length;
};

const fault: fc.Arbitrary<FleetFault> = fc.record({
    kind: fc.constantFrom(
        "pause",
        "kill",
        "stop",
        "log-down",
        "log-lossy",
        "log-partition",
        "partition",
        "network-lossy",
        "clock-jump",
        "fleet-down",
        "snapshots-lost",
    ),
    fromMs: fc.integer({ min: 5_000, max: 50_000 }),
    forMs: fc.integer({ min: 200, max: 20_000 }),
    target: fc.nat(3),
    other: fc.nat(3),
});

const stormy: fc.Arbitrary<FleetScenario> = fc.record({
    seed: fc.integer(),
    daemonCount: fc.constant(4),
    keyCount: fc.constant(KEYS_PER_RUN),
    durationMs: fc.constant(70_000),
    retentionMs: fc.constantFrom(20_000, 40_000, 3_600_000),
    messageLoss: fc.constantFrom(0, 0.02, 0.1),
    clockSkewMs: fc.constantFrom(0, 2_000, 4_000),
    callerFaults: fc.constant(true),
    keysFromMs: fc.constant(4_000),
    faults: fc.array(fault, { maxLength: 8, size: "max" }),
});

/** All daemons but a paused one are down for longer than the log keeps its records. */
const lostStream: fc.Arbitrary<FleetScenario> = fc.record({
    seed: fc.integer(),
    paused: fc.nat(2),
    pausedFromMs: fc.integer({ min: 6_000, max: 9_000 }),
    pausedForMs: fc.integer({ min: 10_000, max: 60_000 }),
    messageLoss: fc.constantFrom(0, 0.05),
    clockSkewMs: fc.constantFrom(0, 4_000),
}).map(({ seed, paused, pausedFromMs, pausedForMs, messageLoss, clockSkewMs }) => ({
    ...calm,
    seed,
    keyCount: 500,
    durationMs: 130_000,
    retentionMs: 10_000,
    messageLoss,
    clockSkewMs,
    callerFaults: true,
    faults: [
        { kind: "pause", fromMs: pausedFromMs, forMs: pausedForMs, target: paused, other: 0 } as const,
        ...[0, 1, 2].filter(target => target !== paused).map(target => ({
            kind: "kill" as const,
            fromMs: 9_500,
            forMs: 15_000,
            target,
            other: 0,
        })),
    ],
}));

/** Runs scenarios until one breaks an invariant, and sums up what else happened in them. */
const checkSafety = (scenarios: fc.Arbitrary<FleetScenario>, opts: { seed: number; numRuns: number; }) => {
    let keyCount = 0;
    let grantedCount = 0;
    let restarts = 0;
    fc.assert(
        fc.property(scenarios, scenario => {
            const { checker, log } = new FleetModel(scenario).run();
            keyCount += scenario.keyCount;
            restarts += log.restarts;
            grantedCount += checker.grantedKeys.size;
            expect(checker.violations.slice(0, 3)).to.deep.equal([]);
        }),
        { ...opts, endOnFailure: true },
    );
    return { grantedPart: grantedCount / keyCount, restarts };
};

describe("at-most-once execution over several daemons", () => {
    describe("safety", () => {
        it("holds under any mix of faults", function() {
            this.timeout(120_000);
            const result = checkSafety(stormy, { seed: 20_261_204, numRuns: RUNS });
            // A fleet that refuses everything is safe too; most keys are to be granted all the same.
            expect(result.grantedPart).to.be.above(0.6);
        });

        it("holds when the stream is lost while a daemon is paused", function() {
            this.timeout(60_000);
            const result = checkSafety(lostStream, { seed: 20_261_204, numRuns: 12 });
            expect(result.grantedPart).to.be.above(0.2);
            expect(result.restarts).to.be.above(6);
        });
    });

    describe("liveness", () => {
        it("grants every valid key when nothing fails", () => {
            const model = new FleetModel(calm).run();
            expect(model.checker.violations).to.deep.equal([]);
            expect(grantedPart(model)).to.equal(1);
        });

        it("keeps granting while the log is down and all daemons are alive", () => {
            const faults = [{ kind: "log-down" as const, fromMs: 15_000, forMs: 45_000, target: 0, other: 0 }];
            const model = new FleetModel({ ...calm, faults }).run();
            expect(model.checker.violations).to.deep.equal([]);
            expect(grantedPart(model)).to.equal(1);
        });

        it("serves all shares again after a crash while the log is available", () => {
            const faults = [{ kind: "kill" as const, fromMs: 20_000, forMs: 1_000_000, target: 1, other: 0 }];
            const model = new FleetModel({ ...calm, keyCount: 2_000, faults }).run();
            expect(model.checker.violations).to.deep.equal([]);
            expect(grantedPart(model, 0, 19_000)).to.equal(1);
            expect(grantedPart(model, 20_000, 32_000)).to.be.above(0.8);
            expect(grantedPart(model, 32_000)).to.equal(1);
        });

        it("serves every key through a planned stop", () => {
            const faults = [{ kind: "stop" as const, fromMs: 20_000, forMs: 10_000, target: 1, other: 0 }];
            const model = new FleetModel({ ...calm, keyCount: 2_000, faults }).run();
            expect(model.checker.violations).to.deep.equal([]);
            expect(grantedPart(model)).to.equal(1);
        });
    });
});
