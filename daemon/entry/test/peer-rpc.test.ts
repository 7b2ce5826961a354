import type { EntrySettings } from "@marigoldstall/core.types";
import type { EntryEvent } from "@marigoldstall/daemon.entry";
import { RpcServer } from "@marigoldstall/fleet.rpc";
import { expect } from "chai";
import type { EntryState } from "../src/entry-state.js";
import type { JsonLogger } from "../src/json-logger.js";
import { PeerRpc } from "../src/peer-rpc.js";
import type { RefusedInputs } from "../src/refused-inputs.js";

const STORE_ADDRESS = "127.0.0.1:9";

const createSnapshot = (service: string) => ({
    nextOffset: 1,
    ageMs: 0,
    registrations: [{
        offset: 0,
        instanceId: "i-1",
        server: {
            instanceId: "i-1",
            startedAtUnixMs: 1,
            service,
            address: "127.0.0.1:1",
            availabilityZone: "a",
            slots: 1,
            isDraining: false,
            warmUpMs: 0,
        },
    }],
});

describe("PeerRpc", () => {
    let peer: RpcServer;
    let address: string;
    let service: string;
    let vmId: string;
    let events: EntryEvent[];
    let rpc: PeerRpc;

    beforeEach(async () => {
        events = [];
        peer = new RpcServer({
            key: `marigoldstall fleet of the store at ${STORE_ADDRESS}`,
            methods: {
                "view.snapshot": () => createSnapshot(service),
                "fleet.vms": () => [{ vmId, availabilityZone: "a", host: "127.0.0.1", cores: 1, linkMbps: 1 }],
            },
        });
        address = await peer.listen("127.0.0.1:0");
        rpc = new PeerRpc({
            settings: { storeAddress: STORE_ADDRESS } as unknown as EntrySettings,
            nowMs: () => 0,
            log: { write: () => undefined } as unknown as JsonLogger,
            refusedInputs: { record: () => undefined } as unknown as RefusedInputs,
            state: () => ({}) as EntryState,
            parseConfiguration: () => undefined,
            dispatch: event => {
                events.push(event);
            },
        });
    });

    afterEach(() => peer.close());

    // This VM would tell the others of them, in datagrams that are refused or too large to be sent.
    it("takes no server and no VM of a peer whose names have more than 255 characters", async () => {
        service = "a".repeat(255);
        vmId = "v".repeat(255);
        expect(await rpc.fetchSnapshot(address)).to.equal(true);
        expect((await rpc.fetchVms(address)).length).to.equal(1);
        expect(events.map(({ type }) => type)).to.deep.equal(["view-snapshot-received"]);
        service = "a".repeat(256);
        vmId = "v".repeat(256);
        expect(await rpc.fetchSnapshot(address)).to.equal(false);
        expect(await rpc.fetchVms(address)).to.deep.equal([]);
        expect(events.length).to.equal(1);
    });
});
