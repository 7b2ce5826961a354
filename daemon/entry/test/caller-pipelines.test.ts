import { expect } from "chai";
import { ListenerHarness } from "./support/listener-harness.js";

describe("CallerListener with requests behind one another", () => {
    let harness: ListenerHarness;

    beforeEach(async () => {
        harness = new ListenerHarness();
        await harness.start();
    });

    afterEach(() => harness.stop());

    describe("behind a request that must not run twice", () => {
        const sendPair = async (): Promise<void> => {
            harness.nonIdempotentIds.add("order");
            harness.send("order", { method: "POST", body: "one crew" });
            harness.send("check");
            await harness.waitForRequests(1);
            await harness.settle();
        };

        // The end of the connection delimits a response without a length. The request behind it had been passed on and
        // had run, and its answer was thrown away (review/8).
        it("passes no request on that the end of the connection would cut", async () => {
            await sendPair();
            harness.relay("order", { isFramed: false });
            await harness.waitUntil(() => harness.isClosed);
            expect(harness.requestIds).to.deep.equal(["order"]);
            expect(harness.received).to.match(/<order>$/);
        });

        it("passes the next request on once the connection is known to stay open", async () => {
            await sendPair();
            expect(harness.requestIds).to.deep.equal(["order"]);
            harness.relay("order");
            await harness.waitForRequests(2);
            harness.relay("check");
            await harness.waitUntil(() => harness.received.endsWith("<check>"));
            expect(harness.statusCodes).to.deep.equal([200, 200]);
        });

        it("passes requests behind idempotent ones on at once", async () => {
            harness.send("r1");
            harness.send("r2");
            harness.send("r3");
            await harness.waitForRequests(3);
        });

        // It would have been passed on at the end of the grace period, when the caller could have sent it elsewhere.
        it("leaves the waiting request to another VM if the process stops meanwhile", async () => {
            await sendPair();
            harness.isStopping = true;
            harness.relay("order");
            await harness.waitUntil(() => harness.isClosed);
            expect(harness.requestIds).to.deep.equal(["order"]);
            expect(harness.received).to.match(/connection: close[^]*<order>$/i);
        });

        it("forgets the waiting request of a caller that has left", async () => {
            await sendPair();
            harness.socket.destroy();
            await harness.waitUntil(() => harness.abandonedKeys.length > 0);
            expect(harness.abandonedKeys.length).to.equal(1);
            expect(harness.listener.unfinishedCount).to.equal(0);
        });
    });

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
