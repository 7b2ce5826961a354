import { expect } from "chai";
import { ListenerHarness } from "./support/listener-harness.js";

describe("CallerListener with requests behind one another", () => {
    let harness: ListenerHarness;

    beforeEach(async () => {
        harness = new ListenerHarness();
        await harness.start();
    });

    afterEach(() => harness.stop());

    describe("during shutdown", () => {
        // The newest response had been written as one that keeps the connection open when SIGTERM came. The connection
        // stayed open behind it, and the request that had been ignored blocked the answers of all later ones (review/6).
        it("closes the connection after the last response, also if it was ready before SIGTERM", async () => {
            harness.send("r1");
            harness.send("r2");
            await harness.waitForRequests(2);
            harness.relay("r2");
            harness.isStopping = true;
            harness.send("r3");
            await harness.settle();
            harness.relay("r1");
            await harness.waitUntil(() => harness.isClosed);
            expect(harness.requestIds).to.deep.equal(["r1", "r2"]);
            expect(harness.received).to.match(/<r1>[^]*connection: close[^]*<r2>$/i);
        });

        // The response that is being written cannot announce the end of the connection any more, so the next request
        // is the one after which the connection closes.
        it("answers a request that follows a response which is being written", async () => {
            harness.send("r1");
            await harness.waitForRequests(1);
            harness.relay("r1");
            await harness.waitUntil(() => harness.received.endsWith("<r1>"));
            harness.isStopping = true;
            harness.send("r2");
            await harness.waitForRequests(2);
            harness.relay("r2");
            await harness.waitUntil(() => harness.isClosed);
            expect(harness.received).to.match(/connection: close[^]*<r2>$/i);
        });
    });
});
