import { selectViewSnapshot, selectViewSummary, UNKNOWN_ERA } from "@marigoldstall/fleet.view";
import { expect } from "chai";
import { ViewHarness } from "./view-harness.js";

const { registered } = ViewHarness;

const PEER_ADDRESS = "127.0.0.2:8003";

const sendSummary = (sender: ViewHarness, receiver: ViewHarness, atMs: number): void => {
    const { next, base, ...rest } = selectViewSummary(sender.state, { atMs, since: undefined });
    receiver.apply({
        type: "view-summary-received",
        atMs,
        peerAddress: PEER_ADDRESS,
        summary: {
            ...rest,
            next: next && { ...next, era: UNKNOWN_ERA },
            base: { ...base, era: UNKNOWN_ERA },
        },
    });
};

const sendSnapshot = (sender: ViewHarness, receiver: ViewHarness, atMs: number): void => {
    const snapshot = selectViewSnapshot(sender.state, atMs);
    if (snapshot !== undefined) {
        receiver.apply({ type: "view-snapshot-received", atMs, snapshot: { ...snapshot, era: UNKNOWN_ERA } });
    }
};

const listTwo = (readerId: string, era: number): ViewHarness => {
    const view = new ViewHarness(readerId);
    view.era = era;
    view.list(0, 40, [registered(38, "a"), registered(39, "b")]);
    return view;
};

// VMs of earlier releases send no era. Counted as era 0, their views were ignored if the store began with a later one.
describe("a view among VMs of an earlier release", () => {
    it("takes a drain from the summary of such a VM", () => {
        const hub = listTwo("hub", 1);
        const member = listTwo("member", 1);
        hub.read(450, 41, [registered(40, "b", { isDraining: true })]);
        sendSummary(hub, member, 460);
        expect(member.find("b")?.isDraining).to.equal(true);
        expect(member.state.registrationReading.confirmedAtMs).to.equal(445);
    });

    it("starts from the snapshot of such a VM and goes on with the store without reporting a restore", () => {
        const hub = listTwo("hub", 1);
        const started = new ViewHarness("started");
        started.era = 1;
        sendSnapshot(hub, started, 100);
        expect(started.ids).to.deep.equal(["a", "b"]);
        const effects = started.list(600, 41, [registered(38, "a"), registered(40, "b", { isDraining: true })]);
        expect(effects.map(({ type }) => type)).to.deep.equal(["servers-changed"]);
        hub.read(900, 42, [registered(41, "c")]);
        sendSnapshot(hub, started, 910);
        expect(started.ids).to.deep.equal(["a", "b", "c"]);
    });

    it("ignores such a VM once the store was restored, as its offsets may belong to another history", () => {
        const hub = listTwo("hub", 1);
        const view = listTwo("reader", 1);
        view.era = 2;
        view.list(500, 12, [registered(3, "a"), registered(11, "b", { isDraining: true })]);
        sendSummary(hub, view, 600);
        sendSnapshot(hub, view, 610);
        expect(view.find("b")?.isDraining).to.equal(true);
        expect(view.state.registrationReading.next).to.deep.equal({ era: 2, offset: 12 });
    });
});
