import type { EntrySettings } from "@marigoldstall/core.types";
import type { VmInfo } from "@marigoldstall/fleet.hubs";
import type { StoreClient } from "@marigoldstall/platform.adapter";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { FleetJoiner } from "../src/fleet-joiner.js";
import type { JsonLogger } from "../src/json-logger.js";

const vm = (vmId: string): VmInfo => ({ vmId, availabilityZone: "a", host: vmId, cores: 1, linkMbps: 10 });

describe("FleetJoiner", () => {
    // Without the seeds, a VM that restarts while the store rejects its calls could serve no requests until the store
    // recovers.
    it("discovers the fleet through a seed while the store rejects its calls, and keeps retrying the store", async () => {
        let writes = 0;
        const askedPeers: string[] = [];
        const found: string[][] = [];
        const failure = { error: { message: "refused" }, kind: "rejected" };
        const store = {
            write: () => {
                writes += 1;
                return Promise.resolve(writes < 2 ? err(failure) : ok(undefined));
            },
            listNewest: () => {
                const records = [{ offset: 0, key: "c", value: JSON.stringify(vm("c")) }];
                return Promise.resolve(ok({ records, nextOffset: 1 }));
            },
        };
        const joiner = new FleetJoiner({
            settings: {
                vmId: "a",
                availabilityZone: "a",
                seedAddresses: ["gone:1", "b:1"],
            } as unknown as EntrySettings,
            store: store as unknown as StoreClient,
            log: { write: () => undefined } as unknown as JsonLogger,
            fetchPeerVms: address => {
                askedPeers.push(address);
                return Promise.resolve(address === "b:1" ? [vm("b"), vm("d")] : []);
            },
            onVmsFound: vms => {
                found.push(vms.map(info => info.vmId));
            },
        });
        await joiner.join();
        expect(askedPeers).to.deep.equal(["gone:1", "b:1"]);
        expect(found).to.deep.equal([["b", "d"], ["c"]]);
    });
});
