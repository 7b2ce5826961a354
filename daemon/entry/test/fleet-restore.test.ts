import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";

const VM_COUNT = 14;
const DRAIN_LIMIT_MS = 2_000;
const CONFIGURATION_LIMIT_MS = 2_000;
const STEP_MS = 10;

const startFleet = (vmCount = VM_COUNT): FleetModel => {
    const model = new FleetModel({ vmCount });
    model.run(3_000);
    return model;
};

const findServer = (model: FleetModel, vmId: string, instanceId: string) =>
    model.state(vmId).dispatch.services.get("one")?.servers.get(instanceId)?.server;

const isOutOfRotation = (model: FleetModel, instanceId: string): boolean =>
    model.live.every(vmId => findServer(model, vmId, instanceId)?.isDraining ?? true);

const versionOf = (model: FleetModel, vmId: string): number | undefined =>
    model.state(vmId).view.configuration?.configuration.version;

const hasVersion = (model: FleetModel, version: number): boolean =>
    model.live.every(vmId => versionOf(model, vmId) === version);

// Runs the model while no VM may go below a version.
const runWithoutRevert = (
    model: FleetModel,
    opts: { readonly durationMs: number; readonly version: number; },
): void => {
    for (let elapsedMs = 0; elapsedMs < opts.durationMs; elapsedMs += STEP_MS) {
        model.run(STEP_MS);
        const versions = model.live.flatMap(vmId => versionOf(model, vmId) ?? []);
        expect(Math.min(...versions)).to.be.at.least(opts.version);
    }
};

// After a restore of the store from an older copy, its offsets go back and are given out again.
describe("a fleet of entry daemons whose store is restored from an older copy", () => {
    // Regression (issue 24): changes with a lower offset than the reader's were ignored.
    for (const writesBefore of [1, 12]) {
        for (const writesAfter of [0, 5, 20]) {
            it(`takes a draining server out of rotation, ${writesBefore} lost and ${writesAfter} new records later`, () => {
                const model = startFleet();
                const copy = model.takeCopy();
                for (let index = 0; index < writesBefore; index += 1) {
                    model.registerServer(`late-${index}`);
                }
                model.run(1_000);
                model.restore(copy);
                for (let index = 0; index < writesAfter; index += 1) {
                    model.registerServer(`new-${index}`);
                }
                model.drain("i-0");
                expect(model.runUntil(() => isOutOfRotation(model, "i-0"), 5_000)).to.be.below(DRAIN_LIMIT_MS);
            });
        }
    }

    it("activates a configuration that is written after the restore, whatever its offset", () => {
        for (const rewritten of [[], [3, 4], [3, 4, 5, 6, 7]]) {
            const model = startFleet();
            const copy = model.takeCopy();
            model.publishConfiguration(3);
            model.publishConfiguration(4);
            model.run(2_000);
            model.restore(copy);
            rewritten.forEach(version => {
                model.publishConfiguration(version);
            });
            model.publishConfiguration(9);
            expect(model.runUntil(() => hasVersion(model, 9), 5_000)).to.be.below(CONFIGURATION_LIMIT_MS);
        }
    });

    it("keeps the configuration in force until the operator has written it again", () => {
        const model = startFleet();
        const copy = model.takeCopy();
        model.publishConfiguration(3);
        model.run(2_000);
        model.restore(copy);
        runWithoutRevert(model, { durationMs: 3_000, version: 3 });
        model.publishConfiguration(3);
        runWithoutRevert(model, { durationMs: 2_000, version: 3 });
    });

    // Regression (issue 24): a VM that started after the restore read the older copy and served by it.
    it("never has an older configuration in force on a VM that starts before it is written again", () => {
        const model = startFleet();
        const copy = model.takeCopy();
        model.publishConfiguration(3);
        // The hubs forget a VM that is silent for this long, so it hears nothing from them when it starts.
        model.silent.add("vm-001");
        model.run(6_000);
        model.restore(copy);
        model.silent.delete("vm-001");
        model.restart("vm-001", { seedId: "vm-004" });
        runWithoutRevert(model, { durationMs: 1_000, version: 3 });
        expect(versionOf(model, "vm-001")).to.equal(3);
    });

    // Regression (issue 24): the copy still lists servers that have left since.
    it("uses a server that has left on no VM, not even on one that starts after the restore", () => {
        const model = startFleet();
        const copy = model.takeCopy();
        model.remove("i-0");
        model.run(2_000);
        model.restore(copy);
        model.run(500);
        model.restart("vm-001", { seedId: "vm-004" });
        for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += STEP_MS) {
            model.run(STEP_MS);
            expect(model.live.filter(vmId => findServer(model, vmId, "i-0") !== undefined)).to.deep.equal([]);
        }
        model.remove("i-0");
        model.run(5_000);
        expect(isOutOfRotation(model, "i-0")).to.equal(true);
    });

    it("keeps servers that the copy lacks in use while they register again", () => {
        const model = startFleet();
        const copy = model.takeCopy();
        model.registerServer("late");
        model.run(1_000);
        model.restore(copy);
        for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += STEP_MS) {
            model.run(STEP_MS);
            expect(model.live.filter(vmId => findServer(model, vmId, "late") === undefined)).to.deep.equal([]);
        }
        model.registerServer("late");
        model.run(4_000);
        expect(model.live.filter(vmId => findServer(model, vmId, "late") === undefined)).to.deep.equal([]);
    });

    it("follows the store through two restores within a second, with one VM frozen meanwhile", () => {
        const model = startFleet();
        const copy = model.takeCopy();
        model.publishConfiguration(3);
        model.registerServer("late");
        model.run(1_000);
        model.silent.add("vm-000");
        model.restore(copy);
        model.run(700);
        model.restore(copy);
        model.silent.delete("vm-000");
        model.publishConfiguration(4);
        model.drain("i-2");
        const isCurrent = (): boolean => hasVersion(model, 4) && isOutOfRotation(model, "i-2");
        expect(model.runUntil(isCurrent, 5_000)).to.be.below(CONFIGURATION_LIMIT_MS);
    });

    it("reads the store no more often than before once the restore is known", () => {
        const model = startFleet(62);
        const before = model.storeReads.length;
        model.run(4_000);
        const readsBefore = model.storeReads.length - before;
        const copy = model.takeCopy();
        model.registerServer("late");
        model.run(1_000);
        model.restore(copy);
        const during = model.storeReads.length;
        model.run(4_000);
        expect(model.storeReads.length - during).to.be.at.most(readsBefore + 6);
    }).timeout(120_000);
});
