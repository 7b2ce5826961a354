import type { BackendServer } from "@marigoldstall/core.types";
import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";

const VM_COUNT = 9;
const FIRST_SERVERS = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"];
const LATER_SERVERS = ["i-6", "i-7", "i-8", "i-9", "i-10", "i-11"];
const MOVED_ADDRESS = "moved:80";
// Limits that the platform sets, from the time at which the store accepted the change.
const DRAIN_LIMIT_MS = 2_000;
const CONFIGURATION_LIMIT_MS = 2_000;
// Backend servers write their entries again within this time after the store is back.
const REWRITE_MS = 2_000;
const SETTLE_MS = 3_000;
const WAIT_MS = 8_000;
const HEARTBEAT_MS = 1_500;
const EXPIRY_HEARTBEATS = 3;

const findServer = (model: FleetModel, vmId: string, instanceId: string): BackendServer | undefined =>
    model.state(vmId).dispatch.services.get("one")?.servers.get(instanceId)?.server;

const isOutOfRotationOn = (model: FleetModel, vmId: string, instanceId: string): boolean =>
    findServer(model, vmId, instanceId)?.isDraining !== false;

const isOutOfRotation = (model: FleetModel, instanceId: string): boolean =>
    model.live.every(vmId => isOutOfRotationOn(model, vmId, instanceId));

const isInRotation = (model: FleetModel, instanceId: string, address?: string): boolean =>
    model.live.every(vmId => {
        const server = findServer(model, vmId, instanceId);
        return server?.isDraining === false && (address === undefined || server.address === address);
    });

const versionOf = (model: FleetModel, vmId: string): number | undefined =>
    model.state(vmId).view.configuration?.configuration.version;

const hasVersion = (model: FleetModel, version: number): boolean =>
    model.live.every(vmId => versionOf(model, vmId) === version);

const createServer = (instanceId: string): BackendServer => ({
    instanceId,
    startedAtUnixMs: 1,
    service: "one",
    address: `${instanceId}:80`,
    availabilityZone: "zone-0",
    slots: 2,
    isDraining: false,
    warmUpMs: 0,
});

const startFleet = (): FleetModel => {
    const model = new FleetModel({ vmCount: VM_COUNT });
    model.run(SETTLE_MS);
    return model;
};

const registerAll = (model: FleetModel, instanceIds: readonly string[]): void => {
    for (const instanceId of instanceIds) {
        model.register(createServer(instanceId));
    }
};

const move = (model: FleetModel, instanceId: string): void => {
    model.register({ ...model.registration(instanceId), address: MOVED_ADDRESS });
};

// Takes a copy, then lets more servers register and one move, so that the VMs know offsets beyond the copy.
const startWithCopy = (): { readonly model: FleetModel; readonly copy: ReturnType<FleetModel["takeCopy"]>; } => {
    const model = startFleet();
    const copy = model.takeCopy();
    registerAll(model, LATER_SERVERS);
    move(model, "i-0");
    expect(model.runUntil(() => isInRotation(model, "i-0", MOVED_ADDRESS), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
    return { model, copy };
};

// What the live servers of `startWithCopy` write again.
const rewriteRegistrations = (model: FleetModel): void => {
    registerAll(model, LATER_SERVERS);
    move(model, "i-0");
};

const restartAmongPeers = (model: FleetModel, vmId: string): void => {
    const seedId = model.live.find(id => id !== vmId) ?? "";
    model.restart(vmId, { seedId });
};

const pickMember = (model: FleetModel): string => model.live.find(vmId => !model.hubs.includes(vmId)) ?? "";

// The store lost what it had acknowledged: offsets went back and were given out again (issue 24). The view compared bare
// offsets, so changes that were written after the restore counted as old.
describe("a fleet whose store is restored from an older copy", () => {
    describe("a drain that is written after the restore", () => {
        it("takes a server out of rotation that did not change since the copy", () => {
            const { model, copy } = startWithCopy();
            model.restore(copy);
            model.drain("i-1");
            expect(model.runUntil(() => isOutOfRotation(model, "i-1"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("takes a server out of rotation whose entry before the restore had a higher offset", () => {
            const { model, copy } = startWithCopy();
            model.restore(copy);
            model.run(700);
            move(model, "i-0");
            model.drain("i-0");
            expect(model.runUntil(() => isOutOfRotation(model, "i-0"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("takes a server out of rotation when the offsets reach the reader's own again, so that no read fails", () => {
            const { model, copy } = startWithCopy();
            const readerOffset = model.registrationEndOffset;
            model.restore(copy);
            model.drain("i-1");
            rewriteRegistrations(model);
            expect(model.registrationEndOffset).to.be.greaterThan(readerOffset);
            expect(model.runUntil(() => isOutOfRotation(model, "i-1"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("takes a server out of rotation when the store has exactly as many records as before", () => {
            const { model, copy } = startWithCopy();
            const readerOffset = model.registrationEndOffset;
            model.restore(copy);
            model.drain("i-1");
            registerAll(model, LATER_SERVERS);
            expect(model.registrationEndOffset).to.equal(readerOffset);
            expect(model.runUntil(() => isOutOfRotation(model, "i-1"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("takes a server out of rotation when an answer from before the restore arrives after it", () => {
            const { model, copy } = startWithCopy();
            const readerId = model.storeReads.at(-1)?.vmId ?? "";
            model.extraAnswerDelayMs.set(readerId, 800);
            const readCount = model.storeReads.length;
            model.runUntil(() => model.storeReads.slice(readCount).some(read => read.vmId === readerId), WAIT_MS);
            model.restore(copy);
            model.extraAnswerDelayMs.clear();
            model.run(300);
            model.drain("i-1");
            rewriteRegistrations(model);
            expect(model.runUntil(() => isOutOfRotation(model, "i-1"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
            model.run(SETTLE_MS);
            expect(isOutOfRotation(model, "i-1")).to.equal(true);
        });

        it("stays in force when a hub returns that was paused across the restore", () => {
            const { model, copy } = startWithCopy();
            const [hubId = ""] = model.hubs;
            model.silent.add(hubId);
            model.run(300);
            model.restore(copy);
            rewriteRegistrations(model);
            model.drain("i-0");
            model.run(SETTLE_MS);
            expect(isOutOfRotation(model, "i-0"), "before the hub returns").to.equal(true);
            const others = model.live;
            model.silent.delete(hubId);
            const isUsedAgain = (): boolean => others.some(vmId => !isOutOfRotationOn(model, vmId, "i-0"));
            expect(model.runUntil(isUsedAgain, DRAIN_LIMIT_MS)).to.equal(Infinity);
            expect(isOutOfRotation(model, "i-0"), "on the hub").to.equal(true);
        });
    });

    describe("a server", () => {
        it("that registered after the copy, and again after the restore, stays in use", () => {
            const { model, copy } = startWithCopy();
            model.restore(copy);
            model.run(REWRITE_MS - 300);
            rewriteRegistrations(model);
            const isMissing = (): boolean => !isInRotation(model, "i-6");
            expect(model.runUntil(isMissing, WAIT_MS)).to.equal(Infinity);
        });

        it("that registers for the first time after the restore is used", () => {
            const { model, copy } = startWithCopy();
            model.restore(copy);
            model.register(createServer("i-20"));
            expect(model.runUntil(() => isInRotation(model, "i-20"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("that registers for the first time after the restore is used when no read fails", () => {
            const { model, copy } = startWithCopy();
            model.restore(copy);
            model.register(createServer("i-20"));
            rewriteRegistrations(model);
            expect(model.runUntil(() => isInRotation(model, "i-20"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("that changes its address after the restore is used at the new one", () => {
            const { model, copy } = startWithCopy();
            model.restore(copy);
            model.run(700);
            model.register({ ...createServer("i-0"), address: "again:80" });
            expect(model.runUntil(() => isInRotation(model, "i-0", "again:80"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("that changed its address after the copy is not used at the old one", () => {
            const { model, copy } = startWithCopy();
            model.restore(copy);
            const isMovedBack = (): boolean => !isInRotation(model, "i-0", MOVED_ADDRESS);
            expect(model.runUntil(isMovedBack, REWRITE_MS - 300)).to.equal(Infinity);
            rewriteRegistrations(model);
            expect(model.runUntil(isMovedBack, WAIT_MS)).to.equal(Infinity);
        });

        it("that registered after the copy and died with the restore is removed", () => {
            const { model, copy } = startWithCopy();
            model.restore(copy);
            registerAll(model, LATER_SERVERS.slice(1));
            move(model, "i-0");
            const limitMs = REWRITE_MS + DRAIN_LIMIT_MS;
            expect(model.runUntil(() => isOutOfRotation(model, "i-6"), WAIT_MS)).to.be.at.most(limitMs);
        });
    });

    describe("a server that left before the restore", () => {
        it("is not used again while the copy holds its entry as ready and it drains", () => {
            const { model, copy } = startWithCopy();
            model.drain("i-2");
            model.run(SETTLE_MS);
            model.restore(copy);
            const isUsedAgain = (): boolean => model.live.some(vmId => !isOutOfRotationOn(model, vmId, "i-2"));
            expect(model.runUntil(isUsedAgain, REWRITE_MS)).to.equal(Infinity);
            rewriteRegistrations(model);
            model.drain("i-2");
            expect(model.runUntil(isUsedAgain, WAIT_MS)).to.equal(Infinity);
        });

        it("is not used again while the copy holds its entry and it is gone", () => {
            const { model, copy } = startWithCopy();
            model.remove("i-2");
            model.run(SETTLE_MS);
            model.restore(copy);
            rewriteRegistrations(model);
            const isUsedAgain = (): boolean => model.live.some(vmId => !isOutOfRotationOn(model, vmId, "i-2"));
            expect(model.runUntil(isUsedAgain, EXPIRY_HEARTBEATS * HEARTBEAT_MS)).to.equal(Infinity);
            model.remove("i-2");
            expect(model.runUntil(isUsedAgain, WAIT_MS)).to.equal(Infinity);
        });

        // The server was cut off from the store. A renewal of the entry in the copy appends no record.
        it("is used again when its entry stays in the store for longer than the heartbeats of a server that is gone", () => {
            const { model, copy } = startWithCopy();
            model.remove("i-2");
            model.run(SETTLE_MS);
            model.restore(copy);
            rewriteRegistrations(model);
            model.run(EXPIRY_HEARTBEATS * HEARTBEAT_MS);
            expect(model.runUntil(() => isInRotation(model, "i-2"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("is used again under the same id when it has started again", () => {
            const { model, copy } = startWithCopy();
            model.drain("i-2");
            model.run(SETTLE_MS);
            model.restore(copy);
            model.run(700);
            model.register({ ...createServer("i-2"), startedAtUnixMs: 2 });
            expect(model.runUntil(() => isInRotation(model, "i-2"), WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });

        it("is out of rotation within a second on a VM that starts while the copy holds it as ready", () => {
            const { model, copy } = startWithCopy();
            model.drain("i-2");
            model.run(SETTLE_MS);
            model.restore(copy);
            model.run(100);
            const vmId = pickMember(model);
            restartAmongPeers(model, vmId);
            model.run(1_000);
            expect(findServer(model, vmId, "i-1"), "the VM has a view").to.not.equal(undefined);
            expect(isOutOfRotationOn(model, vmId, "i-2")).to.equal(true);
        });
    });

    describe("a configuration", () => {
        it("that is written after the restore, with an offset below the reader's own, is in force in the bound", () => {
            const { model, copy } = startWithCopy();
            model.publishConfiguration(2);
            model.publishConfiguration(3);
            model.publishConfiguration(4);
            expect(model.runUntil(() => hasVersion(model, 4), WAIT_MS)).to.be.below(CONFIGURATION_LIMIT_MS);
            model.restore(copy);
            model.publishConfiguration(5);
            expect(model.runUntil(() => hasVersion(model, 5), WAIT_MS)).to.be.below(CONFIGURATION_LIMIT_MS);
        });

        it("that is written after the restore is in force in the bound when no read fails", () => {
            const { model, copy } = startWithCopy();
            model.publishConfiguration(2);
            model.publishConfiguration(3);
            expect(model.runUntil(() => hasVersion(model, 3), WAIT_MS)).to.be.below(CONFIGURATION_LIMIT_MS);
            const readerOffset = model.configurationEndOffset;
            model.restore(copy);
            model.publishConfiguration(3);
            model.publishConfiguration(4);
            expect(model.configurationEndOffset).to.equal(readerOffset);
            expect(model.runUntil(() => hasVersion(model, 4), WAIT_MS)).to.be.below(CONFIGURATION_LIMIT_MS);
        });

        it("that was confirmed before the restore stays in force while the copy holds an older one", () => {
            const { model, copy } = startWithCopy();
            model.publishConfiguration(2);
            expect(model.runUntil(() => hasVersion(model, 2), WAIT_MS)).to.be.below(CONFIGURATION_LIMIT_MS);
            model.restore(copy);
            const isOlder = (): boolean => !hasVersion(model, 2);
            expect(model.runUntil(isOlder, REWRITE_MS)).to.equal(Infinity);
            model.publishConfiguration(2);
            expect(model.runUntil(isOlder, WAIT_MS)).to.equal(Infinity);
        });

        it("that was confirmed before the restore is the first one of a VM that starts while peers live", () => {
            const { model, copy } = startWithCopy();
            model.publishConfiguration(2);
            expect(model.runUntil(() => hasVersion(model, 2), WAIT_MS)).to.be.below(CONFIGURATION_LIMIT_MS);
            model.restore(copy);
            model.run(100);
            const vmId = pickMember(model);
            restartAmongPeers(model, vmId);
            const versions = new Set<number>();
            const collect = (): boolean => {
                const version = versionOf(model, vmId);
                if (version !== undefined) {
                    versions.add(version);
                }
                return false;
            };
            model.runUntil(collect, SETTLE_MS);
            expect([...versions]).to.deep.equal([2]);
        });
    });

    describe("two restores within seconds", () => {
        it("leave all live servers in use, and drains and configurations in force in the bound", () => {
            const { model, copy: first } = startWithCopy();
            const second = model.takeCopy();
            registerAll(model, ["i-20", "i-21"]);
            model.publishConfiguration(2);
            model.publishConfiguration(3);
            model.run(SETTLE_MS);
            model.restore(second);
            model.run(600);
            registerAll(model, ["i-20", "i-21"]);
            model.drain("i-3");
            model.publishConfiguration(4);
            model.run(400);
            model.restore(first);
            model.run(300);
            rewriteRegistrations(model);
            model.drain("i-3");
            model.drain("i-0");
            registerAll(model, ["i-20", "i-21", "i-22"]);
            model.publishConfiguration(5);
            const isDone = (): boolean =>
                isOutOfRotation(model, "i-3") && isOutOfRotation(model, "i-0") && hasVersion(model, 5)
                && [...FIRST_SERVERS.filter(id => id !== "i-3" && id !== "i-0"), ...LATER_SERVERS, "i-20", "i-22"]
                    .every(instanceId => isInRotation(model, instanceId));
            expect(model.runUntil(isDone, WAIT_MS)).to.be.below(DRAIN_LIMIT_MS);
        });
    });
});
