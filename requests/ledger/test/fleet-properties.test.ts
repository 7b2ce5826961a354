import { selectOwnershipHealth } from "@marigoldstall/fleet.ownership";
import { expect } from "chai";
import fc from "fast-check";
import type { FleetFault } from "./fleet-fault.js";
import { FleetModel } from "./fleet-model.js";
import type { FleetScenario } from "./fleet-scenario.js";

/** Runs and keys per run; together at least 100,000 keys. */
const RUNS = 40;
const KEYS_PER_RUN = 2_500;

const calm: FleetScenario = {
    seed: 1,
    daemonCount: 3,
    keyCount: 300,
    durationMs: 60_000,
    retentionMs: 3_600_000,
    messageLoss: 0,
    clockSkewMs: 0,
    appendDelayMs: 15_000,
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
    appendDelayMs: fc.constant(15_000),
    callerFaults: fc.constant(true),
    keysFromMs: fc.constant(4_000),
    faults: fc.array(fault, { maxLength: 8, size: "max" }),
});

/** All daemons but a paused one are down for longer than the log keeps its records. */
const lostStream: fc.Arbitrary<FleetScenario> = fc.record({
    seed: fc.integer(),
    paused: fc.nat(2),
    lossyFromMs: fc.constantFrom(9_000, 22_000),
    pausedFromMs: fc.integer({ min: 6_000, max: 14_000 }),
    pausedForMs: fc.integer({ min: 20_000, max: 70_000 }),
    downForMs: fc.tuple(...[0, 1, 2].map(() => fc.integer({ min: 12_000, max: 25_000 }))),
    messageLoss: fc.constantFrom(0, 0.05),
    clockSkewMs: fc.constantFrom(0, 4_000),
}).map(({ seed, paused, lossyFromMs, pausedFromMs, pausedForMs, downForMs, messageLoss, clockSkewMs }) => ({
    ...calm,
    seed,
    keyCount: 500,
    durationMs: 130_000,
    retentionMs: 10_000,
    messageLoss,
    clockSkewMs,
    appendDelayMs: 100_000,
    callerFaults: true,
    faults: [
        { kind: "pause", fromMs: pausedFromMs, forMs: pausedForMs, target: paused, other: 0 } as const,
        { kind: "log-lossy", fromMs: lossyFromMs, forMs: 30_000, target: 0, other: 0 } as const,
        ...[0, 1, 2].filter(target => target !== paused).map(target => ({
            kind: "kill" as const,
            fromMs: 9_500,
            forMs: downForMs[target]!,
            target,
            other: 0,
        })),
    ],
}));

/** Owners are silent just long enough for a take-over, and the log delivers late and loses answers. */
const racing: fc.Arbitrary<FleetScenario> = fc.record({
    seed: fc.integer(),
    clockSkewMs: fc.constantFrom(0, 2_000),
    silences: fc.array(
        fc.record({
            target: fc.nat(2),
            fromMs: fc.integer({ min: 6_000, max: 40_000 }),
            pausedForMs: fc.integer({ min: 2_500, max: 6_000 }),
            withoutLogForMs: fc.integer({ min: 3_000, max: 15_000 }),
        }),
        { minLength: 2, maxLength: 5 },
    ),
}).map(({ seed, clockSkewMs, silences }) => ({
    ...calm,
    seed,
    clockSkewMs,
    callerFaults: true,
    keysFromMs: 4_000,
    faults: [
        { kind: "log-lossy" as const, fromMs: 5_000, forMs: 60_000, target: 0, other: 0 },
        ...silences.flatMap(({ target, fromMs, pausedForMs, withoutLogForMs }) => [
            { kind: "pause" as const, fromMs, forMs: pausedForMs, target, other: 0 },
            { kind: "log-partition" as const, fromMs, forMs: withoutLogForMs, target, other: 0 },
        ]),
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

        it("holds when take-overs race with owners that come back", function() {
            this.timeout(60_000);
            const result = checkSafety(racing, { seed: 20_261_204, numRuns: 25 });
            expect(result.grantedPart).to.be.above(0.6);
        });

        it("holds when the stream is lost while a daemon is paused", function() {
            this.timeout(60_000);
            const result = checkSafety(lostStream, { seed: 1, numRuns: 12 });
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

        it("serves shares whose owner and guardian both crashed once their caps have passed", () => {
            const faults = [0, 1].map(target => ({
                kind: "kill" as const,
                fromMs: 20_000,
                forMs: 1_000_000,
                target,
                other: 0,
            }));
            const model = new FleetModel({ ...calm, keyCount: 2_000, retentionMs: 15_000, faults }).run();
            expect(model.checker.violations).to.deep.equal([]);
            expect(grantedPart(model, 20_000, 35_000)).to.be.above(0.5);
            expect(grantedPart(model, 45_000)).to.equal(1);
        });

        it("gives a restarted daemon its shares back without refusing a key", () => {
            const faults = [{ kind: "kill" as const, fromMs: 12_000, forMs: 10_000, target: 1, other: 0 }];
            const model = new FleetModel({ ...calm, keyCount: 2_000, keysFromMs: 24_000, faults }).run();
            expect(model.checker.violations).to.deep.equal([]);
            expect(grantedPart(model)).to.equal(1);
            const owned = model.daemons.map(daemon => selectOwnershipHealth(daemon.ownership, 60_000).sharesOwned);
            expect(Math.min(...owned)).to.be.above(10);
            expect(owned.reduce((sum, count) => sum + count)).to.equal(64);
        });

        it("keeps granting through a restart of each daemon in turn", () => {
            const faults = [0, 1, 2].map(target => ({
                kind: "stop" as const,
                fromMs: 12_000 + target * 15_000,
                forMs: 2_000,
                target,
                other: 0,
            }));
            const model = new FleetModel({ ...calm, keyCount: 2_000, durationMs: 75_000, faults }).run();
            expect(model.checker.violations).to.deep.equal([]);
            expect(grantedPart(model)).to.equal(1);
        });

        it("serves every key through a planned stop", () => {
            const faults = [{ kind: "stop" as const, fromMs: 20_000, forMs: 10_000, target: 1, other: 0 }];
            const model = new FleetModel({ ...calm, keyCount: 2_000, faults }).run();
            expect(model.checker.violations).to.deep.equal([]);
            expect(grantedPart(model)).to.equal(1);
        });
    });
});
