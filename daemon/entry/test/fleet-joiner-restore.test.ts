import type { EntrySettings } from "@marigoldstall/core.types";
import type { VmInfo } from "@marigoldstall/fleet.hubs";
import type { StoreClient } from "@marigoldstall/platform.adapter";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { mock } from "node:test";
import { FleetJoiner } from "../src/fleet-joiner.js";
import type { JsonLogger } from "../src/json-logger.js";

const vm = (vmId: string): VmInfo => ({ vmId, availabilityZone: "a", host: vmId, cores: 1, linkMbps: 1_000 });

const VIRTUAL_STEP_MS = 50;
const STORE_LATENCY_MS = 10;
const IS_DOWN = { error: { message: "store is down" }, kind: "rejected" };

const delay = async (durationMs: number): Promise<void> => {
    await new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });
};

/** Lets virtual time pass, and runs what becomes due meanwhile. */
const advance = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += VIRTUAL_STEP_MS) {
        mock.timers.tick(VIRTUAL_STEP_MS);
        // Continuations of promises and effects run before the next step.
        for (let turn = 0; turn < 3; turn += 1) {
            await new Promise(resolve => {
                setImmediate(resolve);
            });
        }
    }
};

/** A store that can be restored from an older copy. */
class StubStore {
    readonly entries = new Map<string, string>();
    /** The calls made, by name and the key that was written. */
    readonly calls: string[] = [];
    isDown = false;
    private copy: readonly (readonly [string, string])[] = [];

    keepCopy(): void {
        this.copy = [...this.entries];
    }

    restore(): void {
        this.entries.clear();
        for (const [key, value] of this.copy) {
            this.entries.set(key, value);
        }
        this.calls.length = 0;
    }

    async write(...[, key, value]: readonly [topic: string, key: string, value: string]) {
        this.calls.push(`write ${key}`);
        await delay(STORE_LATENCY_MS);
        if (this.isDown) {
            return err(IS_DOWN);
        }
        this.entries.set(key, value);
        return ok(undefined);
    }

    async listNewest() {
        this.calls.push("list");
        await delay(STORE_LATENCY_MS);
        const records = [...this.entries].map(([key, value], offset) => ({ offset, key, value }));
        return this.isDown ? err(IS_DOWN) : ok({ records, nextOffset: records.length });
    }
}

interface RestoreFixture {
    readonly isFirstStart?: boolean;
    readonly zone?: string;
    readonly hasHub?: boolean;
    readonly random?: number;
}

/** A VM of the zone "a" that shares a store with others. */
const createVm = (store: StubStore, vmId: string, fixture: RestoreFixture = {}) => {
    const role = { isHub: false, hasHub: fixture.hasHub ?? true };
    const logged: string[] = [];
    const found = new Set<string>();
    const info: VmInfo = { ...vm(vmId), availabilityZone: fixture.zone ?? "a" };
    const joiner = new FleetJoiner({
        settings: {
            ...info,
            isFirstStart: fixture.isFirstStart ?? true,
            listen: { control: `${vmId}:1` },
            seedAddresses: ["seed:1"],
        } as unknown as EntrySettings,
        store: store as unknown as StoreClient,
        log: { write: (kind: string) => logged.push(kind) } as unknown as JsonLogger,
        fetchPeerVms: () => Promise.resolve(["a", "b"].map(vm)),
        hasHub: () => role.hasHub,
        isHub: () => role.isHub,
        random: () => fixture.random ?? 0.5,
        onVmsFound: vms => {
            for (const one of vms) {
                found.add(one.vmId);
            }
        },
    });
    return { joiner, role, logged, found, info };
};

describe("FleetJoiner", () => {
    // The store of a drill comes back from a copy that is some seconds old. A VM that had written its entry since then
    // wrote it at its first start only, so VMs that looked for the others in the store did not find it.
    describe("after the store was restored from an older copy", () => {
        beforeEach(() => {
            mock.timers.enable({ apis: ["setTimeout"] });
        });

        afterEach(() => {
            mock.timers.reset();
        });

        /** A hub and two members of a zone whose entries were written after the copy was made. */
        const createZone = async () => {
            const store = new StubStore();
            const vms = ["a", "b", "c"].map(vmId => createVm(store, vmId));
            store.keepCopy();
            for (const { joiner } of vms) {
                void joiner.join();
            }
            await advance(8_000);
            expect([...store.entries.keys()]).to.have.members(["a", "b", "c"]);
            const [hub, first, second] = vms;
            if (hub === undefined || first === undefined || second === undefined) {
                throw new Error("the zone has three VMs");
            }
            hub.role.isHub = true;
            const rejoinAll = () => {
                for (const { joiner } of vms) {
                    void joiner.rejoin(() => vms.map(one => one.info));
                }
            };
            return { store, vms, hub, first, second, rejoinAll };
        };

        it("has the entries of all VMs of the zone in the store again within 3 s", async () => {
            const { store, rejoinAll } = await createZone();
            store.restore();
            rejoinAll();
            await advance(3_000);
            expect([...store.entries.keys()]).to.have.members(["a", "b", "c"]);
        });

        // Calls of the store are billed, and the copy holds the entries of nearly all VMs in most cases.
        it("costs one call per zone when the copy holds all entries", async () => {
            const { store, rejoinAll } = await createZone();
            store.keepCopy();
            store.restore();
            rejoinAll();
            await advance(30_000);
            expect(store.calls).to.deep.equal(["list"]);
        });

        it("writes the missing entries only, and lists once more to confirm them", async () => {
            const { store, rejoinAll, hub } = await createZone();
            store.entries.delete("b");
            store.keepCopy();
            store.restore();
            rejoinAll();
            await advance(30_000);
            expect(store.calls).to.deep.equal(["list", "write b", "list"]);
            expect(hub.logged).to.include("rejoined");
        });

        // A VM that was replaced since the copy was made has another host.
        it("replaces an entry that describes a VM as it was before", async () => {
            const { store, rejoinAll, first } = await createZone();
            const present = store.entries.get("b");
            store.entries.set("b", JSON.stringify({ ...first.info, host: "former" }));
            store.keepCopy();
            store.restore();
            rejoinAll();
            await advance(3_000);
            expect(store.entries.get("b")).to.equal(present);
        });

        it("leaves the VMs of another zone to the hub of that zone", async () => {
            const { store, hub } = await createZone();
            store.restore();
            void hub.joiner.rejoin(() => [hub.info, { ...vm("z"), availabilityZone: "z" }]);
            await advance(10_000);
            expect([...store.entries.keys()]).to.deep.equal(["a"]);
        });

        // A VM that joined through a seed has never written an entry.
        it("writes the entry of a VM that restarted and joined through a seed", async () => {
            const { store, hub } = await createZone();
            const restarted = createVm(store, "d", { isFirstStart: false });
            await restarted.joiner.join();
            store.restore();
            void hub.joiner.rejoin(() => [hub.info, restarted.info]);
            await advance(3_000);
            expect([...store.entries.keys()]).to.have.members(["a", "d"]);
        });

        // Hubs that all listed in the moment of the restore would load a store that has just come back.
        it("spreads the calls of the hubs over a second", async () => {
            const store = new StubStore();
            const [early, late] = [0, 0.99].map((random, index) => createVm(store, `hub-${index}`, { random }));
            for (const one of [early, late]) {
                if (one !== undefined) {
                    one.role.isHub = true;
                    void one.joiner.rejoin(() => [one.info]);
                }
            }
            await advance(700);
            expect(store.calls).to.include("write hub-0").and.not.include("write hub-1");
            await advance(2_000);
            expect(store.calls).to.include("write hub-1");
        });

        it("has all entries again after two restores within seconds", async () => {
            const { store, rejoinAll } = await createZone();
            for (const passedMs of [200, 400, 800, 1_050, 1_200]) {
                store.restore();
                rejoinAll();
                await advance(passedMs);
            }
            store.restore();
            rejoinAll();
            await advance(3_000);
            expect([...store.entries.keys()]).to.have.members(["a", "b", "c"]);
            await advance(10_000);
            const callCount = store.calls.length;
            await advance(30_000);
            expect(store.calls.length).to.equal(callCount);
        });

        it("retries once per second while the store is down, and logs each failure", async () => {
            const { store, rejoinAll, hub } = await createZone();
            store.restore();
            store.isDown = true;
            rejoinAll();
            await advance(10_000);
            expect(store.calls.length).to.be.within(8, 11);
            expect(hub.logged.filter(kind => kind === "rejoin-failed").length).to.be.within(8, 11);
            store.isDown = false;
            await advance(2_000);
            expect([...store.entries.keys()]).to.have.members(["a", "b", "c"]);
        });

        it("has a VM that becomes the hub meanwhile write the entries", async () => {
            const { store, rejoinAll, hub, first } = await createZone();
            store.restore();
            rejoinAll();
            hub.joiner.stop();
            await advance(1_000);
            first.role.isHub = true;
            await advance(2_500);
            expect([...store.entries.keys()]).to.have.members(["a", "b", "c"]);
        });

        it("makes no call after a stop, whether it waits, retries or waits for a response", async () => {
            for (const passedMs of [0, 300, 1_000, 1_050, 3_000]) {
                const { store, rejoinAll, vms } = await createZone();
                store.restore();
                store.isDown = true;
                rejoinAll();
                await advance(passedMs);
                const callCount = store.calls.length;
                for (const { joiner } of vms) {
                    joiner.stop();
                }
                store.isDown = false;
                await advance(10_000);
                expect(store.calls.length, `stopped after ${passedMs} ms`).to.equal(callCount);
            }
        });

        // The view of a VM that starts has no era yet, so nothing tells it that its entry was lost in between.
        it("writes its entry again when the list of its first join lacks it", async () => {
            const store = new StubStore();
            store.keepCopy();
            const { joiner, found } = createVm(store, "a", { hasHub: false });
            void joiner.join();
            await advance(200);
            expect(store.calls).to.deep.equal(["write a"]);
            store.restore();
            await advance(20_000);
            expect([...store.entries.keys()]).to.deep.equal(["a"]);
            expect(found).to.include("a");
            joiner.stop();
        });

        it("has the entry in the store again when the restore comes at any moment of the first join", async () => {
            for (let passedMs = 0; passedMs <= 8_000; passedMs += 400) {
                const store = new StubStore();
                store.keepCopy();
                const one = createVm(store, "a", { hasHub: false });
                void one.joiner.join();
                await advance(passedMs);
                store.restore();
                one.role.isHub = passedMs > 3_000;
                void one.joiner.rejoin(() => [one.info]);
                await advance(3_000);
                one.role.isHub = true;
                await advance(17_000);
                expect([...store.entries.keys()], `restored after ${passedMs} ms`).to.deep.equal(["a"]);
                one.joiner.stop();
            }
        });

        // A VM that starts after the restore lists before the hub has written, so the hub has to list after its write.
        it("lets a hub and a VM that starts at that moment find each other", async () => {
            for (let passedMs = 0; passedMs <= 2_000; passedMs += VIRTUAL_STEP_MS) {
                const store = new StubStore();
                store.keepCopy();
                const hub = createVm(store, "a");
                hub.role.isHub = true;
                const started = createVm(store, "b", { hasHub: false, random: 0 });
                void hub.joiner.rejoin(() => [hub.info]);
                await advance(passedMs);
                void started.joiner.join();
                await advance(20_000);
                const isFound = hub.found.has("b") || started.found.has("a");
                expect(isFound, `started after ${passedMs} ms`).to.equal(true);
                started.joiner.stop();
            }
        });
    });
});
