import { expect } from "chai";
import { EntrySite } from "./entry-site.js";

const DRAIN_LIMIT_MS = 2_000;
const CONFIGURATION_LIMIT_MS = 2_000;
// Time in which all daemons read a change.
const SETTLE_MS = 1_500;
// Twice what a VM that has just started needs to become the hub of its zone.
const REJOIN_LIMIT_MS = 9_000;
const TEST_TIMEOUT_MS = 60_000;
const SLOTS = 2;
const CHANGED_SLOTS = 3;

// The client of the store ignored the era, so that a position from before a restore seemed valid after it (issue 24).
describe("EntryDaemons whose store is restored from an older copy", () => {
    let site: EntrySite;

    afterEach(async () => {
        await site.stop();
    });

    const start = async (vmCount: number, instanceIds: readonly string[]): Promise<void> => {
        site = new EntrySite({ vmCount });
        await site.start({
            instanceIds,
            whenStored: () => {
                site.publish(1);
                for (const instanceId of instanceIds) {
                    site.register(instanceId);
                }
            },
        });
        await site.wait(SETTLE_MS);
    };

    it("send no requests to a server that drains after the restore with a lower offset than before", async () => {
        await start(2, ["a", "b", "c"]);
        const copy = site.store.takeCopy();
        for (const instanceId of ["a", "b", "c"]) {
            site.register(instanceId, { slots: CHANGED_SLOTS });
        }
        await site.wait(SETTLE_MS);
        expect(await site.findUsedServers(3 * SLOTS), "before the restore").to.deep.equal(["a", "b", "c"]);
        site.store.restore(copy);
        await site.wait(SETTLE_MS);
        site.register("a", { slots: CHANGED_SLOTS, isDraining: true });
        site.register("b", { slots: CHANGED_SLOTS });
        site.register("c", { slots: CHANGED_SLOTS });
        await site.wait(DRAIN_LIMIT_MS);
        expect(await site.findUsedServers(2 * SLOTS)).to.deep.equal(["b", "c"]);
    }).timeout(TEST_TIMEOUT_MS);

    it("apply a configuration that was written while the offsets reached the reader's own again", async () => {
        await start(2, ["a"]);
        const copy = site.store.takeCopy();
        site.publish(2);
        site.publish(3);
        await site.wait(CONFIGURATION_LIMIT_MS);
        expect(await site.isInForce(3), "before the restore").to.equal(true);
        site.store.restore(copy);
        site.publish(3);
        site.publish(4);
        await site.wait(CONFIGURATION_LIMIT_MS);
        expect(await site.isInForce(4)).to.equal(true);
    }).timeout(TEST_TIMEOUT_MS);

    // A VM that looks for the others in the store would not find a VM whose entry is younger than the copy.
    it("write the entries of the VMs again that the copy lacks", async () => {
        const instanceIds = ["a"];
        site = new EntrySite({ vmCount: 2 });
        let copy: ReturnType<EntrySite["store"]["takeCopy"]> | undefined;
        await site.start({
            instanceIds,
            whenStored: () => {
                site.publish(1);
                site.register("a");
                copy = site.store.takeCopy();
            },
        });
        await site.wait(SETTLE_MS);
        site.store.restore(copy ?? new Map());
        expect(await site.findRegisteredVms()).to.deep.equal([]);
        for (let waitedMs = 0; waitedMs < REJOIN_LIMIT_MS; waitedMs += SETTLE_MS) {
            await site.wait(SETTLE_MS);
            if ((await site.findRegisteredVms()).length === site.hosts.length) {
                break;
            }
        }
        expect(await site.findRegisteredVms()).to.deep.equal([...site.hosts].sort());
    }).timeout(TEST_TIMEOUT_MS);

    // Page 1 comes from before the restore, page 2 from the copy. By the next read the offsets have reached the end
    // that page 1 named.
    it("send no requests to a draining server when the store is restored between two pages of a list", async () => {
        const instanceIds = ["a", "b", "c", "d", "e", "f"];
        site = new EntrySite({ vmCount: 1 });
        let restoreCount = 0;
        await site.start({
            instanceIds,
            whenStored: () => {
                site.publish(1);
                for (const instanceId of instanceIds) {
                    site.register(instanceId);
                }
                const copy = site.store.takeCopy();
                const changeServers = (): void => {
                    site.register("e", { isDraining: true });
                    site.register("f", { slots: CHANGED_SLOTS });
                };
                changeServers();
                site.store.newestPageSize = 3;
                site.store.onNewestListed = ({ topic, hasMore }) => {
                    if (topic !== "keyed.servers" || restoreCount > 1) {
                        return;
                    }
                    restoreCount += 1;
                    if (hasMore) {
                        site.store.restore(copy);
                    }
                    else {
                        changeServers();
                    }
                };
            },
        });
        await site.wait(DRAIN_LIMIT_MS);
        expect(restoreCount).to.equal(2);
        expect(await site.findUsedServers(5 * SLOTS)).to.deep.equal(["a", "b", "c", "d", "f"]);
    }).timeout(TEST_TIMEOUT_MS);
});
