import { selectViewSnapshot, selectViewSummary, VIEW_LIMITS, type ViewEffect } from "@marigoldstall/fleet.view";
import { expect } from "chai";
import { ViewHarness } from "./view-harness.js";

const { configuration, registered, removed } = ViewHarness;

describe("reduceView", () => {
    describe("reading the store", () => {
        it("lists first and reads on from there", () => {
            const view = new ViewHarness();
            expect(view.tick(0)).to.deep.include({
                type: "read-store",
                topic: "registrations",
                from: undefined,
            });
            view.list(10, 5, [registered(4, "a")]);
            expect(view.tick(10 + VIEW_LIMITS.registrationIntervalMs)).to.deep.include({
                type: "read-store",
                topic: "registrations",
                from: { era: 0, offset: 5 },
            });
        });

        it("does not read the store while its view is fresh enough for its read delay", () => {
            const view = new ViewHarness();
            view.tick(0);
            view.list(10, 5, []);
            const topics = view.tick(700, 250).filter(effect =>
                effect.type === "read-store" && effect.topic === "registrations"
            );
            expect(topics).to.deep.equal([]);
        });

        it("lists the topic again when the next records were deleted", () => {
            const view = new ViewHarness();
            view.tick(0);
            view.list(10, 5, [registered(4, "a"), registered(3, "b")]);
            view.tick(500);
            view.apply({ type: "store-read-failed", atMs: 510, topic: "registrations", isExpired: true });
            expect(view.tick(1_000)).to.deep.include({
                type: "read-store",
                topic: "registrations",
                from: undefined,
            });
            const effects = view.list(1_010, 90, [registered(80, "a")]);
            expect(effects).to.deep.include({
                type: "servers-changed",
                changes: [{ offset: 89, instanceId: "b", server: undefined }],
                source: "store",
            });
        });

        it("reads again when the previous read did not finish in time", () => {
            const view = new ViewHarness();
            view.tick(0);
            expect(view.tick(VIEW_LIMITS.readTimeoutMs + 1).length).to.be.greaterThan(0);
        });
    });

    describe("registration changes", () => {
        it("reports a change once and ignores heartbeats", () => {
            const view = new ViewHarness();
            view.list(0, 1, [registered(0, "a")]);
            expect(view.read(10, 2, [registered(1, "a", { warmUpMs: 100 })])).to.deep.equal([]);
            expect(view.read(20, 3, [registered(2, "a", { isDraining: true })]).length).to.equal(1);
        });

        it("ignores a change with a lower offset than the known one", () => {
            const view = new ViewHarness();
            view.list(0, 9, [registered(8, "a", { isDraining: true })]);
            view.read(10, 9, [registered(5, "a")]);
            expect(view.state.servers.get("a")?.server.isDraining).to.equal(true);
        });

        it("removes a server immediately when there was no outage of the store", () => {
            const view = new ViewHarness();
            view.list(0, 1, [registered(0, "a")]);
            view.read(500, 2, [removed(1, "a")]);
            expect(view.ids).to.deep.equal([]);
        });
    });

    describe("after an outage of the store", () => {
        const afterOutage = (): ViewHarness => {
            const view = new ViewHarness();
            view.list(0, 2, [registered(0, "a"), registered(1, "b")]);
            view.fail(600);
            view.read(6_000, 4, [removed(2, "a"), removed(3, "b")]);
            return view;
        };

        // Registrations expire during an outage of the store although their servers are still running.
        it("retains servers with an expired registration while they can still register again", () => {
            const view = afterOutage();
            expect(view.ids).to.deep.equal(["a", "b"]);
            view.read(7_000, 5, [registered(4, "a")]);
            view.tick(6_000 + VIEW_LIMITS.expiredRetentionMs + 1);
            expect(view.ids).to.deep.equal(["a"]);
        });

        it("does not retain a draining server", () => {
            const view = new ViewHarness();
            view.list(0, 1, [registered(0, "a", { isDraining: true })]);
            view.read(6_000, 2, [removed(1, "a")]);
            expect(view.ids).to.deep.equal([]);
        });

        it("announces to peers that a retained server is registered again, without reporting a change itself", () => {
            const view = afterOutage();
            const effects = view.read(7_000, 5, [registered(4, "a")]);
            expect(effects).to.deep.equal([]);
            const announced = selectViewSummary(view.state, { atMs: 7_000, since: { era: 0, offset: 4 } }).changes;
            expect(announced.map(change => change.instanceId)).to.deep.equal(["a"]);
        });

        it("reports the start and the end of an outage once each", () => {
            const view = new ViewHarness();
            view.list(0, 0, []);
            expect(view.fail(600).map(effect => effect.type)).to.deep.equal(["store-lost"]);
            expect(view.fail(2_200)).to.deep.equal([]);
            expect(view.read(6_000, 0, []).map(effect => effect.type)).to.deep.equal(["store-regained"]);
        });
    });

    describe("summaries of a peer", () => {
        const createPair = (): { readonly reader: ViewHarness; readonly follower: ViewHarness; } => {
            const reader = new ViewHarness();
            reader.list(0, 2, [registered(0, "a"), registered(1, "b")]);
            const follower = new ViewHarness("follower");
            const snapshot = selectViewSnapshot(reader.state, 10);
            if (snapshot !== undefined) {
                follower.apply({ type: "view-snapshot-received", atMs: 10, snapshot });
            }
            return { reader, follower };
        };
        const sendSummary = (
            reader: ViewHarness,
            follower: ViewHarness,
            atMs: number,
            sinceOffset = 0,
        ): readonly ViewEffect[] =>
            follower.apply({
                type: "view-summary-received",
                atMs,
                peerAddress: "127.0.0.2:8003",
                summary: selectViewSummary(reader.state, { atMs, since: { era: 0, offset: sinceOffset } }),
            });

        it("applies the changes and the age of the peer's view", () => {
            const { reader, follower } = createPair();
            reader.read(500, 3, [registered(2, "a", { isDraining: true })]);
            sendSummary(reader, follower, 510);
            expect(follower.state.servers.get("a")?.server.isDraining).to.equal(true);
            expect(follower.state.registrationReading.confirmedAtMs).to.equal(495);
        });

        // Regression (fleetbench, luznik-osr, hunt-3bce-3: CONFIG): two VMs kept refreshing each other's view, because
        // the reported age does not include the network delay. The view never became stale, so the store was not read
        // again.
        it("does not treat a view as fresher when a peer sends it back", () => {
            const { reader, follower } = createPair();
            reader.read(500, 3, []);
            for (let atMs = 510; atMs < 1_000; atMs += 20) {
                const delayMs = 8;
                const toFollower = selectViewSummary(reader.state, { atMs, since: undefined });
                const peer = { type: "view-summary-received", peerAddress: "127.0.0.2:8003" } as const;
                follower.apply({ ...peer, atMs: atMs + delayMs, summary: toFollower });
                const toReader = selectViewSummary(follower.state, { atMs: atMs + delayMs, since: undefined });
                reader.apply({ ...peer, atMs: atMs + 2 * delayMs, summary: toReader });
            }
            expect(reader.state.registrationReading.confirmedAtMs).to.equal(495);
        });

        // Without this, a change in a lost datagram would be missed.
        it("fetches a snapshot when it missed changes that are no longer announced", () => {
            const { reader, follower } = createPair();
            reader.read(500, 3, [removed(2, "a")]);
            reader.read(900, 4, [removed(3, "b")]);
            const effects = sendSummary(reader, follower, 910, 3);
            expect(effects).to.deep.equal([{ type: "fetch-view-snapshot", peerAddress: "127.0.0.2:8003" }]);
            expect(sendSummary(reader, follower, 920, 3)).to.deep.equal([]);
        });

        it("ignores the changes of a peer with an older view", () => {
            const { reader, follower } = createPair();
            follower.read(500, 3, [removed(2, "a")]);
            sendSummary(reader, follower, 510);
            expect(follower.ids).to.deep.equal(["b"]);
        });
    });

    describe("configuration", () => {
        // Store requests are billed, and otherwise each VM would read the configuration once more at startup.
        it("is not read from the store while a peer's view of it is fresh", () => {
            const view = new ViewHarness();
            view.apply({
                type: "peer-configuration-received",
                atMs: 5,
                configuration: configuration(6),
                ageMs: 10,
                confirmation: { readerId: "other", number: 1 },
            });
            const read = view.tick(20, 700).filter(effect =>
                effect.type === "read-store" && effect.topic === "configuration"
            );
            expect(read).to.deep.equal([]);
        });

        // A page that ended before the end of the topic counted as proof that no later configuration existed, so a VM behind
        // a long topic did not read on for 700 ms, and told others that its configuration was the latest.
        it("is not confirmed by a page that ends before the end of the topic, which is read on at once", () => {
            const view = new ViewHarness();
            view.readConfiguration(0, 1, 6);
            const { confirmedAtMs, confirmation } = view.state.configurationReading;
            view.tick(1_000);
            view.readConfiguration(1_010, 5, 7, { endOffset: 9 });
            expect(view.version).to.equal(7);
            expect(view.state.configurationReading).to.include({ confirmedAtMs, confirmation });
            const from = { era: 0, offset: 5 };
            expect(view.tick(1_020)).to.deep.include({ type: "read-store", topic: "configuration", from });
            view.readConfiguration(1_030, 9, undefined, { endOffset: 9 });
            expect(view.state.configurationReading.confirmedAtMs).to.equal(1_025);
        });

        // A store that sends empty pages must not be called in a loop.
        it("is not read on at once after a page without any record", () => {
            const view = new ViewHarness();
            view.readConfiguration(0, 1, 6);
            view.tick(1_000);
            view.readConfiguration(1_010, 1, undefined, { endOffset: 9 });
            expect(view.tick(1_020)).not.to.deep.include({
                type: "read-store",
                topic: "configuration",
                from: { era: 0, offset: 1 },
            });
        });

        it("is never replaced by an older version", () => {
            const view = new ViewHarness();
            view.apply({
                type: "configuration-read",
                atMs: 0,
                startedAtMs: 0,
                era: 0,
                from: undefined,
                nextOffset: 1,
                configuration: configuration(7),
            });
            view.apply({
                type: "peer-configuration-received",
                atMs: 5,
                configuration: configuration(6),
                ageMs: 0,
                confirmation: undefined,
            });
            expect(view.state.configuration?.configuration.version).to.equal(7);
        });

        it("is fetched from a peer that has a newer one", () => {
            const view = new ViewHarness();
            const summary = {
                ...selectViewSummary(view.state, { atMs: 0, since: undefined }),
                configurationVersion: 3,
                configurationAgeMs: 10,
            };
            const effects = view.apply({
                type: "view-summary-received",
                atMs: 0,
                peerAddress: "127.0.0.2:8003",
                summary,
            });
            expect(effects).to.deep.equal([{ type: "fetch-peer-configuration", peerAddress: "127.0.0.2:8003" }]);
        });
    });

    // The clock of a suspended VM stands still, so its view would count as current after minutes.
    describe("after the VM was suspended", () => {
        it("reads the store again before the usual interval has passed", () => {
            const view = new ViewHarness();
            view.list(1_000, 1, [registered(0, "a")]);
            const atMs = 1_000 + VIEW_LIMITS.registrationIntervalMs / 2;
            expect(view.tick(atMs).some(effect => isRegistrationRead(effect))).to.equal(false);
            view.apply({ type: "resumed", atMs, uncountedMs: 4_000 });
            view.state = {
                ...view.state,
                registrationReading: { ...view.state.registrationReading, startedAtMs: -Infinity },
            };
            expect(view.tick(atMs + 10).some(effect => isRegistrationRead(effect))).to.equal(true);
        });
    });
});

const isRegistrationRead = (effect: ViewEffect): boolean =>
    effect.type === "read-store" && effect.topic === "registrations";
