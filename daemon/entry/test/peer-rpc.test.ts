import type { EntrySettings } from "@marigoldstall/core.types";
import type { EntryEvent } from "@marigoldstall/daemon.entry";
import { RpcServer } from "@marigoldstall/fleet.rpc";
import { expect } from "chai";
import { randomBytes } from "node:crypto";
import { deflateRawSync } from "node:zlib";
import type { EntryState } from "../src/entry-state.js";
import type { JsonLogger } from "../src/json-logger.js";
import { PeerRpc } from "../src/peer-rpc.js";
import type { RefusedInputs } from "../src/refused-inputs.js";
import { TextCompressor } from "../src/text-compressor.js";

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

    describe("with a configuration", () => {
        const CONTROL_ADDRESS = `127.${192 + (process.pid >> 8) % 32}.${process.pid % 256}.2:18749`;
        const RECORD_BYTES = 262_144;
        const MAX_ANSWER_BYTES = 64 * 1_024;
        let texts: string[];
        let refusedKinds: string[];

        const createRpc = (text: string): PeerRpc =>
            new PeerRpc({
                settings: { storeAddress: STORE_ADDRESS, listen: { control: CONTROL_ADDRESS } } as EntrySettings,
                nowMs: () => 0,
                log: { write: () => undefined } as unknown as JsonLogger,
                refusedInputs: {
                    record: (kind: string) => {
                        refusedKinds.push(kind);
                    },
                } as unknown as RefusedInputs,
                state: () => ({
                    view: {
                        configuration: { text },
                        configurationReading: { confirmedAtMs: 0 },
                        evacuations: new Map(),
                    },
                } as unknown as EntryState),
                parseConfiguration: received => {
                    texts.push(received);
                    return undefined;
                },
                dispatch: () => undefined,
            });

        const createText = (createPath: (index: number) => string): string => {
            const routes = [...Array(5_000).keys()].map(index => ({ match: { pathPrefix: createPath(index) } }));
            return JSON.stringify(routes).slice(0, RECORD_BYTES).padEnd(RECORD_BYTES, " ");
        };

        beforeEach(() => {
            texts = [];
            refusedKinds = [];
        });

        const fetchFromPeer = async (answer: unknown): Promise<void> => {
            const other = new RpcServer({
                key: `marigoldstall fleet of the store at ${STORE_ADDRESS}`,
                methods: { "view.configuration": () => answer },
            });
            try {
                await createRpc("").fetchConfiguration(await other.listen("127.0.0.1:0"));
            }
            finally {
                await other.close();
            }
        };

        // A configuration of some 1,400 routes exceeded the limit of a call, and members asked for it again in vain
        // until they read the store themselves (review/7).
        for (
            const [name, createPath] of [
                ["of similar routes", (index: number) => `/route-${index}/`],
                ["that can hardly be compressed", () => `/${randomBytes(24).toString("base64url")}/`],
            ] as const
        ) {
            it(`fetches one ${name} that is as large as a record of the store`, async () => {
                const text = createText(createPath);
                const hub = createRpc(text);
                await hub.listen();
                await createRpc("").fetchConfiguration(CONTROL_ADDRESS);
                await hub.close();
                expect(texts).to.deep.equal([text]);
            });
        }

        it("compresses one text once, however many members fetch it", async () => {
            const compressor = new TextCompressor();
            const text = createText(index => `/route-${index}/`);
            expect(compressor.compress(text)).to.equal(compressor.compress(text));
            expect((await compressor.compress(text)).length).to.be.lessThan(MAX_ANSWER_BYTES);
        });

        it("takes the text of a VM of an earlier release", async () => {
            await fetchFromPeer({ text: "{}", ageMs: 0 });
            expect(texts).to.deep.equal(["{}"]);
        });

        it("refuses a text that is malformed, or far larger than a record once it is decompressed", async () => {
            await fetchFromPeer({ compressedText: "no deflate stream", ageMs: 0 });
            const bomb = deflateRawSync(Buffer.alloc(16 * 1_024 * 1_024)).toString("base64");
            await fetchFromPeer({ compressedText: bomb, ageMs: 0 });
            expect(texts).to.deep.equal([]);
            expect(refusedKinds).to.deep.equal(["peer-configuration-malformed", "peer-configuration-malformed"]);
        });
    });
});
