import { expect } from "chai";
import fc from "fast-check";
import type { FleetFault } from "./fleet-fault.js";
import { FleetModel } from "./fleet-model.js";
import type { FleetScenario } from "./fleet-scenario.js";

const RESTORED_AT_MS = 24_000;

const faultFree: FleetScenario = {
    seed: 1,
    daemonCount: 3,
    keyCount: 2_000,
    durationMs: 130_000,
    retentionMs: 20_000,
    messageLoss: 0,
    clockSkewMs: 0,
    maxAppendDelayMs: 2_000,
    callerFaults: false,
    keysFromMs: 5_000,
    faults: [],
};

/** A fault of the first daemon, or of the log. */
const fault = (kind: FleetFault["kind"], fromMs: number, durationMs: number): FleetFault => ({
    kind,
    fromMs,
    durationMs,
    daemonIndex: 0,
    peerIndex: 0,
});

const restoredLog: fc.Arbitrary<FleetScenario> = fc.record({
    seed: fc.integer(),
    retentionMs: fc.constantFrom(20_000, 3_600_000),
    messageLoss: fc.constantFrom(0, 0.05),
    clockSkewMs: fc.constantFrom(0, 2_000),
    faults: fc.tuple(
        fc.array(
            fc.record({
                kind: fc.constant("log-restored" as const),
                fromMs: fc.integer({ min: 12_000, max: 60_000 }),
                durationMs: fc.integer({ min: 500, max: 30_000 }),
                daemonIndex: fc.constant(0),
                peerIndex: fc.constant(0),
            }),
            { minLength: 1, maxLength: 3 },
        ),
        fc.array(
            fc.record({
                kind: fc.constantFrom("pause", "kill", "stop", "log-lossy", "log-partition", "partition", "fleet-down"),
                fromMs: fc.integer({ min: 8_000, max: 70_000 }),
                durationMs: fc.integer({ min: 200, max: 40_000 }),
                daemonIndex: fc.nat(2),
                peerIndex: fc.nat(2),
            }),
            { minLength: 1, maxLength: 5 },
        ),
    ).map(faults => faults.flat()),
}).map(drawn => ({ ...faultFree, ...drawn, keyCount: 1_000, maxAppendDelayMs: 15_000, callerFaults: true }));

const grantedRatio = (model: FleetModel, fromMs: number): number => {
    const calls = [...model.calls.values()].filter(({ key, atMs }) => atMs >= fromMs && model.receivedKeys.has(key));
    return calls.filter(({ key }) => model.checker.grantedKeys.has(key)).length / calls.length;
};

// A log that is restored from an older copy loses terms that daemons act on, and gives their offsets out again. Daemons
// that read on at their old offset and daemons that read the copy then had different owners for the same keys.
describe("at-most-once execution with a log that is restored from an older copy", () => {
    const restarts: readonly (readonly [string, readonly FleetFault[], number?])[] = [
        ["a daemon restarted before, and the copy lacks the takeover of its shares", [
            fault("kill", 16_000, 3_000),
            fault("log-restored", RESTORED_AT_MS, 14_000),
        ]],
        ["a daemon restarts after it", [
            fault("log-restored", RESTORED_AT_MS, 10_000),
            fault("kill", RESTORED_AT_MS + 1_000, 2_000),
        ]],
        ["the copy is empty and a daemon restarts", [
            fault("log-restored", RESTORED_AT_MS, RESTORED_AT_MS),
            fault("kill", RESTORED_AT_MS + 1_000, 1_000),
        ], 3_600_000],
        ["the copy lacks a handover and its receiver restarts", [
            { ...fault("stop", 14_000, 2_000), daemonIndex: 1 },
            fault("log-restored", RESTORED_AT_MS, 14_000),
            fault("kill", RESTORED_AT_MS + 1_000, 2_000),
        ]],
    ];
    for (const [name, faults, retentionMs = faultFree.retentionMs] of restarts) {
        it(`executes no key twice when ${name}`, () => {
            for (const seed of [1, 2, 3]) {
                const scenario = {
                    ...faultFree,
                    retentionMs,
                    seed,
                    messageLoss: 0.02,
                    clockSkewMs: 1_000,
                    callerFaults: true,
                    faults,
                };
                const { checker } = new FleetModel(scenario).run();
                expect(checker.violations.slice(0, 3)).to.deep.equal([]);
            }
        }).timeout(60_000);
    }

    it("executes no key twice under random restores together with other faults", function() {
        this.timeout(120_000);
        let grantedCount = 0;
        fc.assert(
            fc.property(restoredLog, scenario => {
                const { checker } = new FleetModel(scenario).run();
                grantedCount += checker.grantedKeys.size;
                expect(checker.violations.slice(0, 3)).to.deep.equal([]);
            }),
            { seed: 20_261_204, numRuns: 30, endOnFailure: true },
        );
        // A fleet that refuses every key would also be safe.
        expect(grantedCount).to.be.above(30 * 1_000 * 0.25);
    });

    it("grants every key while all daemons stay alive, and until the caps of the lost terms have passed", () => {
        const faults = [fault("log-restored", RESTORED_AT_MS, 10_000)];
        const model = new FleetModel({ ...faultFree, retentionMs: 3_600_000, faults }).run();
        expect(model.checker.violations).to.deep.equal([]);
        expect(grantedRatio(model, 0)).to.equal(1);
    });

    it("grants keys of all shares again once the terms were restarted", () => {
        for (const seed of [1, 2, 3]) {
            const faults = [
                fault("log-restored", RESTORED_AT_MS, RESTORED_AT_MS),
                fault("kill", RESTORED_AT_MS + 1_000, 1_000),
            ];
            const model = new FleetModel({ ...faultFree, seed, faults }).run();
            expect(model.log.restartCount).to.equal(1);
            expect(grantedRatio(model, RESTORED_AT_MS + 20_000 + 60_000 + 8_000)).to.equal(1);
        }
    });
});
