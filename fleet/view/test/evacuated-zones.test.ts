import {
    selectEvacuatedZones,
    selectViewSnapshot,
    selectViewSummary,
    type ViewEffect,
} from "@marigoldstall/fleet.view";
import { expect } from "chai";
import { ViewHarness } from "./view-harness.js";

const PEER_ADDRESS = "127.0.0.2:8003";

interface EvacuationRecord {
    readonly zone: string;
    readonly offset: number;
    readonly isEvacuated: boolean;
}

const evacuate = (offset: number, zone = "east"): EvacuationRecord => ({ zone, offset, isEvacuated: true });
const takeBack = (offset: number, zone = "east"): EvacuationRecord => ({ zone, offset, isEvacuated: false });

const read = (view: ViewHarness, nextOffset: number, evacuations: readonly EvacuationRecord[]): readonly ViewEffect[] =>
    view.readConfiguration(1_000, nextOffset, undefined, { evacuations });

const list = (view: ViewHarness, nextOffset: number, evacuations: readonly EvacuationRecord[]): readonly ViewEffect[] =>
    view.readConfiguration(1_000, nextOffset, undefined, { evacuations, from: undefined });

const sendSummary = (sender: ViewHarness, receiver: ViewHarness): readonly ViewEffect[] =>
    receiver.apply({
        type: "view-summary-received",
        atMs: 1_000,
        peerAddress: PEER_ADDRESS,
        summary: selectViewSummary(sender.state, { atMs: 1_000, since: undefined }),
    });

const zones = (view: ViewHarness): readonly string[] => selectEvacuatedZones(view.state);

const createView = (): ViewHarness => {
    const view = new ViewHarness();
    view.era = 1;
    view.readConfiguration(0, 4, 6);
    return view;
};

describe("evacuated zones of a view", () => {
    describe("read from the store", () => {
        it("are reported once when a zone is evacuated and when it is taken back", () => {
            const view = createView();
            expect(read(view, 5, [evacuate(4)])).to.deep.equal([{
                type: "evacuations-changed",
                zones: ["east"],
                evacuatedZones: ["east"],
                restoredZones: [],
                source: "store",
            }]);
            expect(read(view, 6, [evacuate(5)])).to.deep.equal([]);
            expect(read(view, 7, [takeBack(6)])).to.deep.include({
                type: "evacuations-changed",
                zones: [],
                evacuatedZones: [],
                restoredZones: ["east"],
                source: "store",
            });
        });

        it("take the last of several records on a zone", () => {
            const view = createView();
            read(view, 8, [evacuate(4), takeBack(5), evacuate(6, "west"), evacuate(7)]);
            expect(zones(view)).to.have.members(["east", "west"]);
        });

        // A take-back whose record the topic no longer retains would never end an evacuation.
        it("are replaced by a list", () => {
            const view = createView();
            read(view, 5, [evacuate(4)]);
            list(view, 9, [evacuate(7, "west")]);
            expect(zones(view)).to.deep.equal(["west"]);
        });

        it("stay when a record after the end of a list says so", () => {
            const view = createView();
            read(view, 6, [evacuate(5)]);
            list(view, 5, []);
            expect(zones(view)).to.deep.equal(["east"]);
        });
    });

    describe("told by a peer", () => {
        it("arrive with a heartbeat, a snapshot and a configuration", () => {
            const sender = createView();
            sender.list(900, 1, [ViewHarness.registered(0, "a")]);
            read(sender, 5, [evacuate(4)]);
            const informed = [new ViewHarness("a"), new ViewHarness("b"), new ViewHarness("c")] as const;
            sendSummary(sender, informed[0]);
            const snapshot = selectViewSnapshot(sender.state, 1_000);
            informed[1].apply({ type: "view-snapshot-received", atMs: 1_000, snapshot: snapshot ?? expect.fail() });
            informed[2].apply({
                type: "peer-configuration-received",
                atMs: 1_000,
                configuration: ViewHarness.configuration(6),
                ageMs: 0,
                confirmation: undefined,
                evacuations: snapshot?.evacuations,
            });
            expect(informed.map(zones)).to.deep.equal([["east"], ["east"], ["east"]]);
        });

        // Datagrams overtake one another, and a repeated one from before the take-back evacuated the zone again.
        it("do not come back with a late heartbeat", () => {
            const sender = createView();
            const receiver = createView();
            read(sender, 5, [evacuate(4)]);
            const late = selectViewSummary(sender.state, { atMs: 1_000, since: undefined });
            read(receiver, 6, [evacuate(4), takeBack(5)]);
            receiver.apply({ type: "view-summary-received", atMs: 1_010, peerAddress: PEER_ADDRESS, summary: late });
            expect(zones(receiver)).to.deep.equal([]);
        });

        // A VM whose own reading is behind must not undo what a peer told it of a later record.
        it("are not undone by earlier records that this VM reads afterwards", () => {
            const sender = createView();
            const receiver = createView();
            read(sender, 7, [evacuate(4), takeBack(5), evacuate(6)]);
            sendSummary(sender, receiver);
            read(receiver, 6, [evacuate(4), takeBack(5)]);
            expect(zones(receiver)).to.deep.equal(["east"]);
        });

        it("are not mentioned in messages while the operator has evacuated none", () => {
            const view = createView();
            expect(selectViewSummary(view.state, { atMs: 0, since: undefined })).not.to.have.property("evacuations");
        });
    });

    describe("after a restore of the store", () => {
        // The operator writes its records again. Until then the servers of the zone would have got requests.
        it("stay evacuated although the copy is from before the evacuation", () => {
            const view = createView();
            read(view, 31, [evacuate(30)]);
            view.era = 2;
            list(view, 5, []);
            expect(zones(view)).to.deep.equal(["east"]);
            list(view, 6, [evacuate(5, "west")]);
            expect(zones(view)).to.have.members(["east", "west"]);
        });

        it("end with the record that the operator writes in the new era, at a lower offset", () => {
            const view = createView();
            read(view, 31, [evacuate(30)]);
            view.era = 2;
            list(view, 5, []);
            read(view, 6, [takeBack(5)]);
            expect(zones(view)).to.deep.equal([]);
        });

        // The copy has the take-back of an earlier evacuation of the same zone.
        it("are not ended by a take-back in the copy", () => {
            const view = createView();
            read(view, 31, [evacuate(30)]);
            view.era = 2;
            list(view, 5, [takeBack(3)]);
            expect(zones(view)).to.deep.equal(["east"]);
        });

        it("are told to a VM that has read only the copy", () => {
            const view = createView();
            read(view, 31, [evacuate(30)]);
            view.era = 2;
            list(view, 5, []);
            const started = new ViewHarness("b");
            started.era = 2;
            list(started, 6, [takeBack(3)]);
            sendSummary(started, view);
            sendSummary(view, started);
            expect([zones(view), zones(started)]).to.deep.equal([["east"], ["east"]]);
        });

        it("are taken from the copy, as a VM cannot tell whether its records were written again", () => {
            const view = createView();
            read(view, 31, [evacuate(20), takeBack(30)]);
            view.era = 2;
            list(view, 21, [evacuate(20)]);
            expect(zones(view)).to.deep.equal(["east"]);
        });
    });

    // The list is part of every heartbeat, which must fit into a datagram.
    it("are bounded, and keep the evacuated ones", () => {
        const view = createView();
        const taken = [...Array(200).keys()].map(index => takeBack(4 + index, `zone-${index}`));
        read(view, 205, [evacuate(4), ...taken]);
        expect(view.state.evacuations.size).to.equal(64);
        expect(zones(view)).to.deep.equal(["east"]);
    });
});
