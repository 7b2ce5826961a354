import { digestTargets } from "@marigoldstall/config.targets";
import type { Targets } from "@marigoldstall/core.types";
import {
    createRootState,
    reduceRoot,
    type RootEffect,
    type RootEvent,
    type RootEventBody,
    type RootState,
} from "@marigoldstall/daemon.state";
import { selectOwnershipHealth } from "@marigoldstall/fleet.ownership";
import { expect } from "chai";
import { isDeepStrictEqual } from "node:util";

const WALL_MS = 1_800_000_000_000;
const BACKEND = "127.0.0.1:9001";

const TARGETS: Targets = {
    site: "test",
    measuring: { probesPerSecond: 2 },
    classes: [true, false].map(repeatable => ({
        name: repeatable ? "check" : "dispatch",
        service: "crewcall",
        urgency: "urgent",
        repeatable,
        lateness: { percentile: 99, withinMs: 300 },
        turnedAwayAtMostPercent: 1,
        match: [],
    })),
};

/** Creates a UUIDv7 with the timestamp `wallMs`. */
const keyAt = (wallMs: number): string => {
    const hex = wallMs.toString(16).padStart(12, "0");
    return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000001`;
};

/** Drives one daemon whose appends to the log succeed and are read back immediately. */
class Harness {
    readonly events: RootEvent[] = [];
    readonly initial: RootState;
    state: RootState;
    atMs = 0;
    private ownershipOffset = 0;

    constructor() {
        const self = {
            daemon: { vmId: "a", incarnation: "0001" },
            address: "a:7200",
            availabilityZone: "bezigrad",
        };
        this.initial = createRootState({ self, atMs: 0, logRetentionMs: 3_600_000, shareOf: () => 0 });
        this.state = this.initial;
    }

    send(body: RootEventBody): readonly RootEffect[] {
        const event = { ...body, atMs: this.atMs, wallMs: WALL_MS + this.atMs, random: 0.5 };
        this.events.push(event);
        const { state, effects } = reduceRoot(this.state, event);
        this.state = state;
        for (const effect of effects) {
            if (effect.type === "append-ownership-record") {
                this.append(effect.value);
            }
        }
        return effects.filter(effect => effect.type !== "log-decision");
    }

    /** Starts the daemon as the only one in the fleet, with targets, one backend server and all shares. */
    startAlone(): void {
        const read = { from: 0, startedAtMs: 0, firstOffset: 0, nextOffset: 0, records: [] };
        this.send({ type: "ownership-log-read", read });
        this.send({
            type: "vm-list-read",
            vmList: {
                asOfMs: 1,
                vms: [
                    { vmId: "a", role: "entry", address: "a:7200", availabilityZone: "bezigrad", state: "live" },
                    { vmId: "b1", role: "crewcall", address: BACKEND, availabilityZone: "bezigrad", state: "live" },
                ],
            },
        });
        this.publish();
        for (let tick = 0; tick < 150; tick += 1) {
            this.atMs += 100;
            this.send({ type: "tick", checkAddresses: [] });
        }
    }

    publish(): readonly RootEffect[] {
        const value = { publishId: "p1", version: 1, parentVersion: 0, author: "test", targets: TARGETS };
        return this.send({
            type: "configuration-log-read",
            read: {
                from: 0,
                startedAtMs: this.atMs,
                firstOffset: 0,
                nextOffset: 1,
                records: [{ offset: 0, value }],
            },
        });
    }

    arrive(requestId: string, key?: string): readonly RootEffect[] {
        return this.send({
            type: "request-arrived",
            request: {
                requestId,
                service: "crewcall",
                className: key === undefined ? "check" : "dispatch",
                deadlineAtMs: this.atMs + 30_000,
                callerAttempt: 1,
                bodyReplayable: true,
                claim: key === undefined ? undefined : { key, fingerprint: "f" },
            },
        });
    }

    /** Completes an attempt with status 200 and a whole body. */
    complete(attemptId: string, requestId: string): readonly RootEffect[] {
        const response = { statusCode: 200, headers: [], bodyBase64: "b2s=" };
        return [
            ...this.send({
                type: "attempt-responded",
                attemptId,
                statusCode: 200,
                instanceId: "i1",
                load: undefined,
                draining: false,
                notRun: false,
            }),
            ...this.send({ type: "attempt-completed", requestId, attemptId, response }),
        ];
    }

    private append(value: unknown): void {
        const offset = this.ownershipOffset;
        this.ownershipOffset += 1;
        const read = { from: offset, startedAtMs: this.atMs, firstOffset: 0, nextOffset: offset + 1 };
        this.send({ type: "ownership-log-read", read: { ...read, records: [{ offset, value }] } });
    }
}

const types = (effects: readonly RootEffect[]): readonly string[] => effects.map(effect => effect.type);

describe("daemon.state", () => {
    let harness: Harness;

    beforeEach(() => {
        harness = new Harness();
        harness.startAlone();
    });

    // Without the era, a daemon reads on at an offset that another record has taken.
    it("passes a restore of the log on to the ownership of shares", () => {
        const isSynchronized = () => selectOwnershipHealth(harness.state.ownership, 0).synchronized;
        expect(isSynchronized()).to.equal(true);
        const read = { era: 1, from: 1, startedAtMs: 0, firstOffset: 0, nextOffset: 0, records: [] };
        harness.send({ type: "ownership-log-read", read });
        expect(isSynchronized()).to.equal(false);
    });

    it("applies a configuration in all slices that need it", () => {
        expect(harness.state.applied?.version).to.equal(1);
        expect(harness.state.applied?.digest).to.equal(digestTargets(TARGETS));
        expect(harness.state.membership.configurationVersion).to.equal(1);
        expect(harness.state.measuring.unitCount).to.equal(2);
    });

    it("routes a request without a key immediately", () => {
        expect(types(harness.arrive("r1"))).to.include("start-attempt");
    });

    describe("requests with an idempotency key", () => {
        it("sends a request only after its claim was granted, and settles the claim with the response", () => {
            const key = keyAt(WALL_MS + harness.atMs);
            const effects = harness.arrive("r1", key);
            const start = effects.find(effect => effect.type === "start-attempt");
            if (start?.type !== "start-attempt") {
                throw new Error(`the request was not sent: ${types(effects).join(", ")}`);
            }
            expect(start.requireLiveConnection).to.equal(true);
            expect(types(harness.complete(start.attemptId, "r1"))).to.include.members([
                "relay-attempt",
                "finish-request",
            ]);
            const repeat = harness.arrive("r2", key);
            const answer = repeat.find(effect => effect.type === "answer-caller");
            expect(types(repeat)).not.to.include("start-attempt");
            expect(answer).to.deep.include({ outcome: "completed", statusCode: 200 });
        });

        it("does not send a request whose key is refused, as its outcome is `not-run`", () => {
            const effects = harness.arrive("r1", keyAt(WALL_MS - 3_600_000));
            expect(types(effects)).to.include("answer-caller");
            expect(types(effects)).not.to.include("start-attempt");
        });

        it("releases the key when the request did not run, so that a repeated request is sent", () => {
            const key = keyAt(WALL_MS + harness.atMs);
            let effects = harness.arrive("r1", key);
            for (let attempt = 0; attempt < 20; attempt += 1) {
                const start = effects.find(effect => effect.type === "start-attempt");
                if (start?.type !== "start-attempt") {
                    break;
                }
                harness.atMs += 1;
                effects = harness.send({
                    type: "attempt-failed",
                    attemptId: start.attemptId,
                    failure: "connection-stale",
                });
            }
            expect(effects.find(effect => effect.type === "reject-request")).to.include({ outcome: "not-run" });
            expect(types(harness.arrive("r2", key))).to.include("start-attempt");
        });

        it("does not send a request whose caller disconnected while the claim was waiting", () => {
            harness.arrive("r1", keyAt(WALL_MS + harness.atMs + 7_000));
            expect(types(harness.send({ type: "request-cancelled", requestId: "r1" }))).to.deep.equal([
                "finish-request",
            ]);
            for (let tick = 0; tick < 100; tick += 1) {
                harness.atMs += 100;
                expect(types(harness.send({ type: "tick", checkAddresses: [] }))).not.to.include("start-attempt");
            }
        });
    });

    it("passes evidence from a peer to routing, which then sends no request to the leaving backend server", () => {
        const first = harness.arrive("r0").find(effect => effect.type === "start-attempt");
        harness.complete(first?.type === "start-attempt" ? first.attemptId : "", "r0");
        harness.send({
            type: "evidence-received",
            evidence: [
                { service: "crewcall", address: BACKEND, instanceId: "i1", kind: "leaving", observedBy: "b" },
            ],
        });
        expect(types(harness.arrive("r1"))).not.to.include("start-attempt");
    });

    it("produces the same state when its events are replayed", () => {
        harness.arrive("r1", keyAt(WALL_MS + harness.atMs));
        harness.arrive("r2");
        let state = harness.initial;
        for (const event of harness.events) {
            state = reduceRoot(state, event).state;
        }
        // Events that an append causes while another event is handled are recorded in the order of their reduction.
        expect(isDeepStrictEqual(state, harness.state)).to.equal(true);
    });
});
