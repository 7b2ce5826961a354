import { selectViewSummary } from "@marigoldstall/fleet.view";
import { expect } from "chai";
import { ViewHarness } from "./view-harness.js";

const { registered, removed } = ViewHarness;

const PEER_ADDRESS = "127.0.0.2:8003";

const sendSummary = (sender: ViewHarness, receiver: ViewHarness, atMs: number): void => {
    const summary = selectViewSummary(sender.state, { atMs, since: undefined });
    receiver.apply({ type: "view-summary-received", atMs, peerAddress: PEER_ADDRESS, summary });
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
});
