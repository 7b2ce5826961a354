import { selectViewSnapshot, selectViewSummary, VIEW_LIMITS, type ViewEffect } from "@marigoldstall/fleet.view";
import { expect } from "chai";
import { ViewHarness } from "./view-harness.js";

const { registered, removed } = ViewHarness;

const PEER_ADDRESS = "127.0.0.2:8003";
const HEARTBEAT_MS = 1_500;

const sendSummary = (sender: ViewHarness, receiver: ViewHarness, atMs: number): readonly ViewEffect[] => {
    const summary = selectViewSummary(sender.state, { atMs, since: undefined });
    return receiver.apply({ type: "view-summary-received", atMs, peerAddress: PEER_ADDRESS, summary });
};

const sendSnapshot = (sender: ViewHarness, receiver: ViewHarness, atMs: number): void => {
    const snapshot = selectViewSnapshot(sender.state, atMs);
    if (snapshot !== undefined) {
        receiver.apply({ type: "view-snapshot-received", atMs, snapshot });
    }
};

const listTwo = (readerId: string): ViewHarness => {
    const view = new ViewHarness(readerId);
    view.era = 1;
    view.list(0, 40, [registered(38, "a"), registered(39, "b")]);
    return view;
};

// Facts of one history of the store reached a view in another order than the one in which they were written.

describe("the order in which facts of the store reach a view", () => {
    it("removes a server that a peer lists although this view had seen it drain", () => {
        const reader = new ViewHarness("reader");
        reader.era = 1;
        reader.list(0, 40, [registered(38, "a"), registered(39, "b", { isDraining: true })]);
        reader.read(450, 41, [removed(40, "b")]);
        reader.era = 2;
        reader.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        const started = new ViewHarness("started");
        started.era = 2;
        started.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        reader.read(1_400, 13, [removed(12, "b")]);
        sendSummary(reader, started, 1_410);
        expect(started.ids).to.deep.equal(["a"]);
    });

    it("does not use a removed server again because of a read that took longer than a peer's", () => {
        const view = listTwo("slow");
        const peer = listTwo("peer");
        peer.read(450, 42, [removed(41, "b")]);
        sendSummary(peer, view, 460);
        expect(view.ids).to.deep.equal(["a"]);
        view.apply({
            type: "registrations-read",
            atMs: 470,
            startedAtMs: 400,
            era: 1,
            from: { era: 1, offset: 40 },
            changes: [registered(40, "b", { slots: 3 })],
            nextOffset: 41,
            endOffset: 41,
        });
        expect(view.ids).to.deep.equal(["a"]);
    });

    it("announces all changes after a list that took longer than a peer's read", () => {
        const view = listTwo("slow");
        const peer = listTwo("peer");
        const member = listTwo("member");
        peer.read(450, 41, [registered(40, "b", { isDraining: true })]);
        sendSummary(peer, view, 460);
        view.list(470, 40, [registered(38, "a"), registered(39, "b")]);
        sendSummary(view, member, 480);
        expect(member.find("b")?.isDraining).to.equal(true);
        expect(view.find("b")?.isDraining).to.equal(true);
    });

    it("does not use a removed server again because of a list that took longer than a peer's read", () => {
        const view = listTwo("slow");
        const peer = listTwo("peer");
        peer.read(450, 41, [removed(40, "b")]);
        sendSummary(peer, view, 460);
        view.list(470, 40, [registered(38, "a"), registered(39, "b")]);
        expect(view.ids).to.deep.equal(["a"]);
    });

    it("withholds a server over a second restore on a view that learned of its removal from a peer only", () => {
        const reader = listTwo("reader");
        reader.read(450, 41, [removed(40, "b")]);
        reader.era = 2;
        reader.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        const started = new ViewHarness("started");
        sendSnapshot(reader, started, 1_000);
        started.era = 3;
        started.list(2_000, 10, [registered(3, "a"), registered(4, "b")]);
        expect(started.ids).to.deep.equal(["a"]);
    });

    it("withholds a server that had left before this view's first list, as a peer knows", () => {
        const reader = listTwo("reader");
        reader.read(450, 41, [removed(40, "b")]);
        const started = new ViewHarness("started");
        sendSnapshot(reader, started, 500);
        started.era = 2;
        started.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        expect(started.ids).to.deep.equal(["a"]);
    });

    it("does not end the withholding while the store is away, as registrations do not expire then", () => {
        const view = listTwo("reader");
        view.read(450, 41, [removed(40, "b")]);
        view.era = 2;
        view.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        for (let atMs = 1_000; atMs <= 12_000; atMs += 500) {
            view.fail(atMs);
            view.tick(atMs + 10);
        }
        expect(view.ids).to.deep.equal(["a"]);
        view.read(12_600, 12, []);
        view.tick(12_610);
        expect(view.ids).to.deep.equal(["a"]);
        view.read(13_500, 13, [removed(12, "b")]);
        view.tick(12_600 + HEARTBEAT_MS * VIEW_LIMITS.withheldHeartbeats + 10);
        expect(view.ids).to.deep.equal(["a"]);
    });

    it("does not take the view of a peer in a former era after the store has deleted the next record", () => {
        const view = listTwo("reader");
        const peer = listTwo("peer");
        view.apply({ type: "store-read-failed", atMs: 450, topic: "registrations", isExpired: true, era: 2 });
        expect(selectViewSnapshot(view.state, 455)?.nextOffset).to.equal(40);
        sendSnapshot(peer, view, 460);
        const effects = view.tick(470);
        expect(effects).to.deep.include({ type: "read-store", topic: "registrations", from: undefined });
        expect(view.state.storeEra).to.equal(2);
    });

    it("withholds a server for the time that a peer does that has read a later copy", () => {
        const reader = listTwo("reader");
        const follower = listTwo("follower");
        for (const view of [reader, follower]) {
            view.read(450, 41, [removed(40, "b")]);
            view.era = 2;
            view.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        }
        reader.era = 3;
        reader.list(5_000, 12, [registered(3, "a"), registered(4, "b")]);
        sendSnapshot(reader, follower, 5_010);
        follower.era = 3;
        const untilMs = 5_000 + HEARTBEAT_MS * VIEW_LIMITS.withheldHeartbeats;
        for (let atMs = 5_400; atMs < untilMs; atMs += VIEW_LIMITS.registrationIntervalMs) {
            follower.read(atMs, 12, []);
            follower.tick(atMs + 10);
            expect(follower.state.withheld.get("b")?.position).to.deep.equal({ era: 3, offset: 4 });
            expect(follower.ids).to.deep.equal(["a"]);
        }
    });

    it("tells a VM that starts how long a registration is withheld after an outage of the store", () => {
        const reader = listTwo("reader");
        reader.read(450, 41, [removed(40, "b")]);
        reader.era = 2;
        reader.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        reader.read(5_900, 12, []);
        const started = new ViewHarness("started");
        started.era = 2;
        sendSnapshot(reader, started, 6_000);
        started.read(7_500, 12, []);
        started.tick(7_510);
        expect(started.ids).to.deep.equal(["a"]);
    });

    it("uses no removed server longer because the store was restored shortly before", () => {
        const view = listTwo("reader");
        view.era = 2;
        view.list(500, 12, [registered(3, "a"), registered(4, "b")]);
        view.read(900, 13, [removed(12, "b")]);
        expect(view.ids).to.deep.equal(["a"]);
    });

    it("reports the removal of a draining server of which the copy lists an earlier process", () => {
        const view = new ViewHarness("reader");
        view.era = 1;
        view.list(0, 40, [
            registered(38, "a"),
            registered(39, "b", { startedAtUnixMs: 5, isDraining: true }),
        ]);
        view.era = 2;
        expect(view.list(500, 12, [registered(3, "a"), registered(4, "b")])).to.deep.include({
            type: "servers-changed",
            changes: [removed(11, "b")],
            source: "store",
        });
        expect(view.ids).to.deep.equal(["a"]);
    });

    it("asks a peer once for the servers that have left, after it has listed a restored copy itself", () => {
        const view = listTwo("resumed");
        const peer = listTwo("peer");
        peer.read(450, 41, [removed(40, "b")]);
        for (const one of [view, peer]) {
            one.era = 2;
            one.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        }
        expect(view.ids).to.deep.equal(["a", "b"]);
        const fetch = { type: "fetch-view-snapshot", peerAddress: PEER_ADDRESS };
        expect(sendSummary(peer, view, 1_000)).to.deep.include(fetch);
        sendSnapshot(peer, view, 1_010);
        expect(view.ids).to.deep.equal(["a"]);
        expect(sendSummary(peer, view, 1_500)).to.not.deep.include(fetch);
    });

    it("uses a server at once that has registered after the restore, as the peer that sent the view does", () => {
        const reader = listTwo("reader");
        const follower = listTwo("follower");
        for (const view of [reader, follower]) {
            view.read(450, 41, [removed(40, "b")]);
        }
        reader.era = 2;
        reader.list(900, 12, [registered(3, "a"), registered(4, "b")]);
        reader.read(1_400, 13, [registered(12, "b")]);
        expect(reader.ids).to.deep.equal(["a", "b"]);
        sendSnapshot(reader, follower, 1_500);
        expect(follower.ids).to.deep.equal(["a", "b"]);
    });
});
