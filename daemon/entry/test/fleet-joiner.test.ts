import type { EntrySettings } from "@marigoldstall/core.types";
import type { VmInfo } from "@marigoldstall/fleet.hubs";
import type { StoreClient } from "@marigoldstall/platform.adapter";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { FleetJoiner } from "../src/fleet-joiner.js";
import type { JsonLogger } from "../src/json-logger.js";

const vm = (vmId: string): VmInfo => ({ vmId, availabilityZone: "a", host: vmId, cores: 1, linkMbps: 10 });

interface JoinerFixture {
    readonly isFirstStart: boolean;
    readonly rejectedWrites?: number;
    readonly seeds?: Readonly<Record<string, readonly string[]>>;
    readonly hasHub?: boolean;
    readonly isHub?: boolean;
}

const createJoiner = (fixture: JoinerFixture) => {
    const calls: string[] = [];
    const found: string[][] = [];
    const rejectedWrites = fixture.rejectedWrites ?? 0;
    const seeds = fixture.seeds ?? {};
    const failure = { error: { message: "refused" }, kind: "rejected" };
    const store = {
        write: () => {
            calls.push("write");
            const isRejected = calls.filter(call => call === "write").length <= rejectedWrites;
            return Promise.resolve(isRejected ? err(failure) : ok(undefined));
        },
        listNewest: () => {
            calls.push("list");
            const records = ["c", "a"].map((vmId, offset) => ({ offset, key: vmId, value: JSON.stringify(vm(vmId)) }));
            return Promise.resolve(ok({ records, nextOffset: records.length }));
        },
    };
    const joiner = new FleetJoiner({
        settings: {
            vmId: "a",
            availabilityZone: "a",
            linkMbps: 1_000,
            isFirstStart: fixture.isFirstStart,
            listen: { control: "a:1" },
            seedAddresses: ["a:1", ...Object.keys(seeds)],
        } as unknown as EntrySettings,
        store: store as unknown as StoreClient,
        log: { write: () => undefined } as unknown as JsonLogger,
        fetchPeerVms: address => {
            calls.push(address);
            return Promise.resolve((seeds[address] ?? []).map(vm));
        },
        hasHub: () => fixture.hasHub === true,
        isHub: () => fixture.isHub === true,
        random: () => 0,
        onVmsFound: vms => {
            found.push(vms.map(info => info.vmId));
        },
    });
    return { joiner, calls, found };
};

describe("FleetJoiner", () => {
    // Without the seeds, a VM that starts while the store rejects its calls could serve no requests until the store
    // recovers.
    it("discovers the fleet through a seed while the store rejects its calls, and keeps retrying the store", async () => {
        const seeds = { "gone:1": [], "b:1": ["b", "d"] };
        const { joiner, calls, found } = createJoiner({ isFirstStart: true, rejectedWrites: 1, seeds });
        await joiner.join();
        expect(calls).to.deep.equal(["write", "gone:1", "b:1", "write", "list"]);
        expect(found).to.deep.equal([["b", "d"], ["c", "a"]]);
    });

    // Store calls are billed, and half of a fleet of hundreds of VMs may restart at once while the store is slow.
    it("makes no store call when a VM restarts and a seed knows the fleet", async () => {
        const { joiner, calls, found } = createJoiner({ isFirstStart: false, seeds: { "b:1": ["b", "d"] } });
        await joiner.join();
        expect(calls).to.deep.equal(["b:1"]);
        expect(found).to.deep.equal([["b", "d"]]);
    });

    // After a restart of all VMs, each seed knows only itself for a moment. VMs that trusted it would form islands.
    it("uses the store when the seeds are gone or have just started", async () => {
        const seeds = { "gone:1": [], "b:1": ["b"] };
        const { joiner, calls, found } = createJoiner({ isFirstStart: false, seeds });
        await joiner.join();
        expect(calls).to.deep.equal(["gone:1", "b:1", "write", "list"]);
        expect(found).to.deep.equal([["c", "a"]]);
    });

    // A small VM takes 2 s to start on luznik-osr-large. Hubs that listed once did not find it, and 200 of 312 VMs listed
    // the fleet themselves.
    it("lists the fleet again as a hub, for VMs that start more slowly", async () => {
        const { joiner, calls } = createJoiner({ isFirstStart: true, isHub: true });
        await joiner.join();
        expect(calls).to.deep.equal(["write", "list", "list", "list"]);
    });

    it("does not list the fleet at the first start when a hub has found this VM", async () => {
        const { joiner, calls } = createJoiner({ isFirstStart: true, hasHub: true });
        await joiner.join();
        expect(calls).to.deep.equal(["write"]);
    });
});
