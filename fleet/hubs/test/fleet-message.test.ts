import { decodeFleetMessage, encodeFleetMessage, type FleetMessage } from "@marigoldstall/fleet.hubs";
import { UNKNOWN_ERA } from "@marigoldstall/fleet.view";
import { decode, encode } from "@msgpack/msgpack";
import { expect } from "chai";
import fc from "fast-check";
import { isBoundedMessage } from "../src/is-bounded-message.js";
import { createVm } from "./create-vm.js";
import { LOAD } from "./load.js";
import { SUMMARY } from "./summary.js";

const MAX_HEAP_GROWTH_BYTES = 8 * 1_024 * 1_024;

describe("fleet.hubs, datagram encoding", () => {
    it("decodes an encoded message to an equal one", () => {
        const message: FleetMessage = {
            type: "status",
            sender: createVm("1", "a"),
            isHub: true,
            summary: {
                ...SUMMARY,
                next: { era: 2, offset: 6 },
                base: { era: 2, offset: 4 },
                evacuations: [{ zone: "b", position: { era: 2, offset: 9 }, isEvacuated: true }],
                changes: [
                    { offset: 4, instanceId: "i-1", server: undefined },
                    {
                        offset: 5,
                        instanceId: "i-2",
                        server: {
                            instanceId: "i-2",
                            startedAtUnixMs: 1770000000000,
                            service: "one",
                            address: "127.0.0.1:1",
                            availabilityZone: "a",
                            slots: 2,
                            isDraining: true,
                            warmUpMs: 30,
                        },
                    },
                ],
            },
            vms: [{ info: createVm("2", "b"), ageMs: 100 }],
            fleetSize: 3,
        };
        expect(decodeFleetMessage(encodeFleetMessage(message))).to.deep.equal(message);
    });

    it("decodes encoded updates, a load query and its answer to equal ones", () => {
        const messages: readonly FleetMessage[] = [
            {
                type: "updates",
                vmId: "1",
                loads: [
                    { instanceId: "i-2", load: LOAD, ageMs: 12 },
                    { instanceId: "i-3", load: LOAD, ageMs: 12, warmUp: { remainingMs: 900, ageMs: 12 } },
                ],
                sentRequests: [{ instanceId: "i-2", ageMs: 3 }],
                failures: [{ instanceId: "i-2", weight: 0.5 }],
            },
            {
                type: "load-query",
                vmId: "1",
                service: "one",
                workMs: 160,
                responseBytes: 800,
                connectedInstanceIds: ["i-2"],
            },
            {
                type: "load-answer",
                service: "one",
                averageSlowness: 1.5,
                servers: [
                    {
                        instanceId: "i-2",
                        load: LOAD,
                        ageMs: 12,
                        sentRequestAgesMs: [3, 4],
                        failures: 0.5,
                        isUnused: true,
                    },
                    {
                        instanceId: "i-3",
                        load: LOAD,
                        ageMs: 12,
                        sentRequestAgesMs: [],
                        failures: 0,
                        isUnused: false,
                        warmUp: { remainingMs: 0, ageMs: 12 },
                    },
                ],
            },
        ];
        for (const message of messages) {
            expect(decodeFleetMessage(encodeFleetMessage(message))).to.deep.equal(message);
        }
    });

    it("decodes what hubs and members tell of quotas to equal messages", () => {
        const status = {
            type: "status" as const,
            sender: createVm("1", "a"),
            isHub: true,
            summary: { ...SUMMARY, next: { era: 2, offset: 6 }, base: { era: 2, offset: 4 } },
            vms: [],
            fleetSize: 3,
        };
        const messages: readonly FleetMessage[] = [
            { ...status, quotas: { heardVms: 7, metered: "all" } },
            { ...status, quotas: { heardVms: 7, metered: ["gardens", "ponds"] } },
            {
                type: "updates",
                vmId: "1",
                loads: [],
                sentRequests: [],
                failures: [],
                usage: { reporterId: "1/5#2", sequence: 9, tenants: [{ name: "gardens", total: 40, recent: 12.5 }] },
            },
            { type: "quota-query", reporterId: "1/5", requestKey: "17", tenantName: "gardens" },
            { type: "quota-answer", requestKey: "17", verdict: "exceeded", retryAfterMs: 120 },
        ];
        for (const message of messages) {
            expect(decodeFleetMessage(encodeFleetMessage(message))).to.deep.equal(message);
        }
    });

    // During a rolling upgrade, VMs of both releases belong to the same fleet.
    it("decodes encoded findings, a permit query and its answer to equal ones", () => {
        const messages: readonly FleetMessage[] = [
            {
                type: "findings",
                vmId: "1",
                limits: [
                    { instanceId: "i-1", startedAtUnixMs: 1_770_000_000_000, perSecond: 1.3, ageMs: 20 },
                    { instanceId: "i-2", startedAtUnixMs: 1, perSecond: undefined, ageMs: Infinity },
                ],
                leaving: [{ instanceId: "i-3", startedAtUnixMs: 1 }],
                suspects: [{
                    fingerprint: "abc",
                    completionAgeMs: Infinity,
                    crashes: [{ instanceId: "i-4", startedAtUnixMs: 2, ageMs: 30 }],
                }],
            },
            { type: "permit-query", attemptId: "7", instanceId: "i-1" },
            { type: "permit-answer", attemptId: "7", instanceId: "i-1", isGranted: false, retryAfterMs: 400 },
        ];
        for (const message of messages) {
            expect(decodeFleetMessage(encodeFleetMessage(message))).to.deep.equal(message);
        }
    });

    it("decodes a status of a release that sends no era as one of an unknown era", () => {
        const message: FleetMessage = {
            type: "status",
            sender: createVm("1", "a"),
            isHub: true,
            summary: { ...SUMMARY, next: { era: 2, offset: 6 }, base: { era: 2, offset: 4 } },
            vms: [],
            fleetSize: 3,
        };
        const row = decode(encodeFleetMessage(message)) as unknown[][];
        row[4]?.pop();
        const decoded = decodeFleetMessage(encode(row));
        expect(decoded).to.deep.equal({
            ...message,
            summary: { ...SUMMARY, next: { era: UNKNOWN_ERA, offset: 6 }, base: { era: UNKNOWN_ERA, offset: 4 } },
        });
    });

    // The decoder allocates an array when it reads its head, so 20 bytes ended the process (review/4).
    const oversized: readonly (readonly [string, Uint8Array])[] = [
        ["nested arrays with 30 million elements each", Buffer.from("dd01c9c380".repeat(4), "hex")],
        ["nested arrays with 60,000 elements each", Buffer.from("dcea60".repeat(20_000), "hex")],
        ["nested maps with millions of entries each", Buffer.from("df01c9c380".repeat(4), "hex")],
        ["60,000 nested arrays", Buffer.concat([Buffer.alloc(60_000, 0x91), Buffer.from([0xc0])])],
        ["a string longer than the datagram", Buffer.from("dbffffffff", "hex")],
    ];
    for (const [what, bytes] of oversized) {
        it(`rejects ${what} without allocating them`, () => {
            const startBytes = process.memoryUsage().heapUsed;
            expect(decodeFleetMessage(bytes)).to.equal(undefined);
            expect(process.memoryUsage().heapUsed - startBytes).to.be.below(MAX_HEAP_GROWTH_BYTES);
        });
    }

    // This VM would tell the others of such a server, in heartbeats that no longer fit into a datagram.
    it("rejects a message with a string of more than 255 characters", () => {
        const createStatus = (service: string): FleetMessage => {
            const server = {
                instanceId: "i-1",
                startedAtUnixMs: 1,
                service,
                address: "127.0.0.1:1",
                availabilityZone: "a",
                slots: 2,
                isDraining: false,
                warmUpMs: 0,
            };
            const summary = { ...SUMMARY, changes: [{ offset: 1, instanceId: "i-1", server }] };
            return { type: "status", sender: createVm("1", "a"), isHub: true, summary, vms: [], fleetSize: 3 };
        };
        expect(decodeFleetMessage(encodeFleetMessage(createStatus("a".repeat(255))))).not.to.equal(undefined);
        expect(decodeFleetMessage(encodeFleetMessage(createStatus("a".repeat(256))))).to.equal(undefined);
    });

    it("accepts every complete message of usual depth", () => {
        const value = fc.oneof(
            fc.integer(),
            fc.double(),
            fc.string(),
            fc.boolean(),
            fc.uint8Array(),
            fc.bigInt(0n, 9n).map(Number),
        );
        const message = fc.array(
            fc.oneof(
                value,
                fc.array(fc.oneof(value, fc.array(value, { maxLength: 40 }))),
                fc.dictionary(fc.string(), value),
            ),
        );
        fc.assert(
            fc.property(message, row => {
                const bytes = Buffer.from(encode(row));
                expect(isBoundedMessage(bytes)).to.equal(true);
                expect(isBoundedMessage(bytes.subarray(0, -1))).to.equal(false);
                expect(isBoundedMessage(Buffer.concat([bytes, bytes]))).to.equal(false);
            }),
            { seed: 4, numRuns: 300 },
        );
    });

    it("rejects a truncated or malformed datagram and one of another version", () => {
        const bytes = encodeFleetMessage({
            type: "status",
            sender: createVm("1", "a"),
            isHub: false,
            summary: SUMMARY,
            vms: [],
            fleetSize: 1,
        });
        expect(decodeFleetMessage(bytes.subarray(0, 9))).to.equal(undefined);
        expect(decodeFleetMessage(Uint8Array.from([1]))).to.equal(undefined);
        const other = Uint8Array.from(bytes);
        other[1] = 9;
        expect(decodeFleetMessage(other)).to.equal(undefined);
    });
});
