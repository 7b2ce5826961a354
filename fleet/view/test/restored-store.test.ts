import {
    selectViewSnapshot,
    selectViewSummary,
    type StorePosition,
    VIEW_LIMITS,
    type ViewEffect,
} from "@marigoldstall/fleet.view";
import { expect } from "chai";
import { ViewHarness } from "./view-harness.js";

const { registered, removed } = ViewHarness;

const PEER_ADDRESS = "127.0.0.2:8003";
const HEARTBEAT_MS = 1_500;

const findRead = (effects: readonly ViewEffect[], topic: string): ViewEffect | undefined =>
    effects.find(effect => effect.type === "read-store" && effect.topic === topic);

const sendSummary = (
    sender: ViewHarness,
    receiver: ViewHarness,
    opts: { readonly atMs: number; readonly since?: StorePosition; },
): readonly ViewEffect[] => {
    const { atMs, since } = opts;
    const summary = selectViewSummary(sender.state, { atMs, since });
    return receiver.apply({ type: "view-summary-received", atMs, peerAddress: PEER_ADDRESS, summary });
};

const sendSnapshot = (sender: ViewHarness, receiver: ViewHarness, atMs: number): readonly ViewEffect[] => {
    const snapshot = selectViewSnapshot(sender.state, atMs);
    return snapshot === undefined ? [] : receiver.apply({ type: "view-snapshot-received", atMs, snapshot });
};

const startAtOffset40 = (): ViewHarness => {
    const view = new ViewHarness();
    view.era = 1;
    view.list(0, 40, [registered(38, "a"), registered(39, "b")]);
    view.readConfiguration(0, 20, 7);
    return view;
};

// The store was restored from an older copy, so its offsets went back and were given out again. An offset compared
// without its era dropped what was written after the restore.
describe("a view of a store that was restored from an older copy", () => {
    describe("reading registrations", () => {
        it("lists the topic again when the offset of the next read exists in the new era", () => {
            const view = startAtOffset40();
            view.era = 2;
            const effects = view.apply({
                type: "registrations-read",
                atMs: 500,
                startedAtMs: 495,
                era: 2,
                from: { era: 1, offset: 40 },
                changes: [registered(40, "c")],
                nextOffset: 41,
                endOffset: 41,
            });
            expect(effects).to.deep.include({ type: "store-restored", era: 2, previousEra: 1 });
            expect(view.ids).to.deep.equal(["a", "b"]);
            expect(findRead(view.tick(510), "registrations")).to.deep.equal({
                type: "read-store",
                topic: "registrations",
                from: undefined,
            });
        });

        it("lists the topic again when the other topic has shown the new era", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.readConfiguration(300, 20, undefined);
            expect(findRead(view.tick(1_000), "registrations")).to.deep.include({ from: undefined });
        });

        it("applies changes with lower offsets than before the restore", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.list(500, 12, [registered(3, "a"), registered(4, "b")]);
            view.read(1_000, 13, [registered(12, "a", { isDraining: true })]);
            expect(view.find("a")?.isDraining).to.equal(true);
            expect(view.state.registrationReading.next).to.deep.equal({ era: 2, offset: 13 });
        });

        it("reports a restore once", () => {
            const view = startAtOffset40();
            view.era = 2;
            const effects = [...view.list(500, 12, []), ...view.readConfiguration(600, 3, 5)];
            expect(effects.filter(effect => effect.type === "store-restored").length).to.equal(1);
        });

        it("ignores a delayed response from before the restore", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.list(500, 12, [registered(3, "a"), registered(4, "b", { isDraining: true })]);
            view.era = 1;
            view.list(600, 50, [registered(38, "a"), registered(39, "b"), registered(49, "c")]);
            expect(view.ids).to.deep.equal(["a", "b"]);
            expect(view.find("b")?.isDraining).to.equal(true);
            expect(view.state.registrationReading.next).to.deep.equal({ era: 2, offset: 12 });
        });

        it("handles a second restore before the servers have registered again", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.list(500, 12, [registered(3, "a")]);
            view.era = 3;
            view.list(2_000, 10, [registered(3, "a")]);
            view.tick(500 + VIEW_LIMITS.expiredRetentionMs + 10);
            expect(view.ids).to.deep.equal(["a", "b"]);
            view.read(3_000, 11, [registered(10, "b")]);
            view.tick(2_000 + VIEW_LIMITS.expiredRetentionMs + 10);
            expect(view.ids).to.deep.equal(["a", "b"]);
        });
    });

    describe("servers that the copy lacks", () => {
        it("stay in use while they can register again", () => {
            const view = startAtOffset40();
            view.era = 2;
            const effects = view.list(500, 12, [registered(3, "a")]);
            expect(effects.map(effect => effect.type)).to.not.include("servers-changed");
            expect(view.ids).to.deep.equal(["a", "b"]);
            view.tick(500 + VIEW_LIMITS.expiredRetentionMs + 10);
            expect(view.ids).to.deep.equal(["a"]);
        });

        it("are removed at once if they were draining", () => {
            const view = new ViewHarness();
            view.era = 1;
            view.list(0, 40, [registered(38, "a"), registered(39, "b", { isDraining: true })]);
            view.era = 2;
            view.list(500, 12, [registered(3, "a")]);
            expect(view.ids).to.deep.equal(["a"]);
        });

        it("are removed from a copy that is empty", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.list(500, 0, []);
            view.tick(500 + VIEW_LIMITS.expiredRetentionMs + 10);
            expect(view.ids).to.deep.equal([]);
        });
    });

    describe("servers that the copy describes as they were", () => {
        it("keep draining when the copy has them as ready", () => {
            const view = new ViewHarness();
            view.era = 1;
            view.list(0, 40, [registered(38, "a"), registered(39, "b", { isDraining: true })]);
            view.era = 2;
            view.list(500, 12, [registered(3, "a"), registered(4, "b")]);
            expect(view.find("b")?.isDraining).to.equal(true);
        });

        it("are used again under the same id once a new process has started", () => {
            const view = new ViewHarness();
            view.era = 1;
            view.list(0, 40, [registered(39, "b", { isDraining: true })]);
            view.era = 2;
            view.list(500, 12, [registered(4, "b", { startedAtUnixMs: 2 })]);
            expect(view.find("b")?.isDraining).to.equal(false);
        });

        it("keep the address of the later process while it can register again", () => {
            const view = new ViewHarness();
            view.era = 1;
            const address = "127.0.0.1:9090";
            view.list(0, 40, [registered(39, "b", { startedAtUnixMs: 5, address })]);
            view.era = 2;
            view.list(500, 12, [registered(4, "b")]);
            expect(view.find("b")?.address).to.equal(address);
            view.read(1_500, 13, [registered(12, "b", { startedAtUnixMs: 5, address })]);
            view.tick(500 + HEARTBEAT_MS * VIEW_LIMITS.withheldHeartbeats + 10);
            expect(view.find("b")?.address).to.equal(address);
        });
    });

    describe("servers that had left after the copy was made", () => {
        const leave = (server: Partial<ReturnType<typeof registered>["server"]>): ViewHarness => {
            const view = new ViewHarness();
            view.era = 1;
            view.list(0, 40, [registered(38, "a"), registered(39, "b", server)]);
            view.read(450, 41, [removed(40, "b")]);
            view.era = 2;
            view.list(900, 12, [registered(3, "a"), registered(4, "b")]);
            return view;
        };

        // Reads until a read has started at a time or later, without finding any change.
        const readUntil = (view: ViewHarness, atMs: number): void => {
            for (let readAtMs = 1_400; readAtMs < atMs + 10; readAtMs += VIEW_LIMITS.registrationIntervalMs) {
                view.read(Math.min(readAtMs, atMs), 12, []);
            }
            view.read(atMs + 10, 12, []);
        };

        it("are not used because of the copy", () => {
            const view = leave({});
            expect(view.ids).to.deep.equal(["a"]);
            view.read(5_000, 13, [removed(12, "b")]);
            view.tick(30_000);
            expect(view.ids).to.deep.equal(["a"]);
        });

        it("are used again when their registration does not expire, as they are alive then", () => {
            const view = leave({});
            const untilMs = 900 + HEARTBEAT_MS * VIEW_LIMITS.withheldHeartbeats;
            view.tick(untilMs - 10);
            expect(view.ids).to.deep.equal(["a"]);
            view.tick(untilMs);
            expect(view.ids).to.deep.equal(["a"]);
            readUntil(view, untilMs);
            const effects = view.tick(untilMs + 10);
            expect(effects).to.deep.include({
                type: "servers-changed",
                changes: [registered(4, "b")],
                source: "restored",
            });
            expect(view.ids).to.deep.equal(["a", "b"]);
        });

        it("are used again as soon as they register again", () => {
            const view = leave({});
            view.read(1_400, 13, [registered(12, "b")]);
            expect(view.ids).to.deep.equal(["a", "b"]);
        });

        it("are never used again after they had announced that they drain", () => {
            const view = leave({ isDraining: true });
            view.tick(30_000);
            view.read(30_010, 13, [registered(12, "b")]);
            expect(view.ids).to.deep.equal(["a"]);
        });

        it("stay withheld when the topic is listed again", () => {
            const view = leave({});
            view.list(1_400, 12, [registered(3, "a"), registered(4, "b")]);
            expect(view.ids).to.deep.equal(["a"]);
            view.list(5_000, 13, [registered(3, "a")]);
            view.tick(30_000);
            expect(view.ids).to.deep.equal(["a"]);
        });

        it("stay withheld on a VM that starts and receives the view of a peer", () => {
            const view = leave({});
            const started = new ViewHarness("started");
            sendSnapshot(view, started, 1_000);
            expect(started.ids).to.deep.equal(["a"]);
            started.era = 2;
            readUntil(started, 900 + HEARTBEAT_MS * VIEW_LIMITS.withheldHeartbeats);
            started.tick(910 + HEARTBEAT_MS * VIEW_LIMITS.withheldHeartbeats);
            expect(started.ids).to.deep.equal(["a", "b"]);
        });
    });

    describe("views of peers", () => {
        const createPair = (): { readonly reader: ViewHarness; readonly follower: ViewHarness; } => {
            const reader = startAtOffset40();
            const follower = new ViewHarness("follower");
            follower.era = 1;
            sendSnapshot(reader, follower, 10);
            return { reader, follower };
        };

        it("fetches the view of a peer in a new era although its offset is lower", () => {
            const { reader, follower } = createPair();
            reader.era = 2;
            reader.list(500, 12, [registered(3, "a"), registered(11, "b", { isDraining: true })]);
            expect(sendSummary(reader, follower, { atMs: 510 })).to.deep.include({
                type: "fetch-view-snapshot",
                peerAddress: PEER_ADDRESS,
            });
            expect(sendSnapshot(reader, follower, 515)).to.deep.include({
                type: "store-restored",
                era: 2,
                previousEra: 1,
            });
            expect(follower.find("b")?.isDraining).to.equal(true);
            expect(follower.state.registrationReading.next).to.deep.equal({ era: 2, offset: 12 });
        });

        it("is not overwritten by a peer that remains in the former era at a higher offset", () => {
            const { reader, follower } = createPair();
            follower.era = 2;
            follower.list(500, 12, [registered(3, "a"), registered(11, "b", { isDraining: true })]);
            sendSummary(reader, follower, { atMs: 510 });
            sendSnapshot(reader, follower, 515);
            expect(follower.find("b")?.isDraining).to.equal(true);
            expect(follower.state.registrationReading.next).to.deep.equal({ era: 2, offset: 12 });
        });

        it("does not take the confirmation of a peer in the former era for one of its own view", () => {
            const { reader, follower } = createPair();
            follower.era = 2;
            follower.list(500, 12, [registered(3, "a")]);
            reader.read(900, 40, []);
            sendSummary(reader, follower, { atMs: 910 });
            expect(follower.state.registrationReading.confirmedAtMs).to.equal(495);
        });

        it("announces changes of the new era although higher offsets of the former one were announced", () => {
            const { reader, follower } = createPair();
            reader.era = 2;
            reader.list(500, 12, [registered(3, "a"), registered(4, "b")]);
            sendSnapshot(reader, follower, 510);
            reader.read(1_000, 13, [registered(12, "b", { isDraining: true })]);
            sendSummary(reader, follower, { atMs: 1_010, since: { era: 1, offset: 40 } });
            expect(follower.find("b")?.isDraining).to.equal(true);
        });
    });

    describe("the configuration", () => {
        it("is read again from the start when its next offset exists in the new era", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.readConfiguration(800, 21, undefined);
            expect(findRead(view.tick(810), "configuration")).to.deep.equal({
                type: "read-store",
                topic: "configuration",
                from: undefined,
            });
        });

        it("is read on from the lower offset of the new era", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.apply({ type: "store-read-failed", atMs: 800, topic: "configuration", isExpired: true });
            view.readConfiguration(820, 9, 6);
            expect(view.state.configurationReading.next).to.deep.equal({ era: 2, offset: 9 });
            view.readConfiguration(1_600, 10, 8);
            expect(view.version).to.equal(8);
        });

        it("is never replaced by the older version of the copy", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.apply({ type: "store-read-failed", atMs: 800, topic: "configuration", isExpired: true });
            expect(view.readConfiguration(820, 9, 6).map(effect => effect.type)).to.deep.equal(["store-restored"]);
            expect(view.version).to.equal(7);
        });

        it("is adopted from a delayed response of the former era without moving the position back", () => {
            const view = startAtOffset40();
            view.era = 2;
            view.apply({ type: "store-read-failed", atMs: 800, topic: "configuration", isExpired: true });
            view.readConfiguration(820, 9, 6);
            view.era = 1;
            view.readConfiguration(900, 22, 8);
            expect(view.version).to.equal(8);
            expect(view.state.configurationReading.next).to.deep.equal({ era: 2, offset: 9 });
        });
    });
});
