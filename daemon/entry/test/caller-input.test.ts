import { expect } from "chai";
import { ListenerHarness } from "./support/listener-harness.js";

const HEADER_TIMEOUT_MS = 600;
const IDLE_TIMEOUT_MS = 900;

interface Row {
    readonly name: string;
    readonly text: string;
    readonly statusCode: number;
    readonly kind: string;
}

const LINE_END = "\r\n";
const toText = (...lines: readonly string[]): string => lines.join(LINE_END) + LINE_END + LINE_END;

// Issue 46: while a request ran, its caller got one of these statuses in the place of its answer, or a closed connection.
const ROWS: readonly Row[] = [
    { name: "bytes that are no request", text: toText("this is no request"), statusCode: 400, kind: "malformed" },
    { name: "binary bytes", text: "\u0001".repeat(100), statusCode: 400, kind: "malformed" },
    {
        name: "a request with two lengths",
        text: toText("POST /a/ HTTP/1.1", "Host: x", "Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n",
        statusCode: 400,
        kind: "malformed",
    },
    {
        name: "a malformed chunk",
        text: toText("POST /a/ HTTP/1.1", "Host: x", "Transfer-Encoding: chunked") + "zz\r\n\r\n",
        statusCode: 400,
        kind: "malformed",
    },
    {
        name: "a head over the limit of Node.js",
        text: toText("GET /a/ HTTP/1.1", "Host: x", `X-Large: ${"a".repeat(80_000)}`),
        statusCode: 431,
        kind: "head-too-large",
    },
    {
        name: "CONNECT",
        text: toText("CONNECT x:443 HTTP/1.1", "Host: x"),
        statusCode: 501,
        kind: "method-unsupported",
    },
];

describe("CallerListener with input that is no request", () => {
    let harness: ListenerHarness;

    beforeEach(async () => {
        harness = new ListenerHarness();
        harness.listener.applyLimits({
            headerBytes: 60_000,
            bodyBytes: 1_000,
            headerTimeoutMs: HEADER_TIMEOUT_MS,
            idleTimeoutMs: IDLE_TIMEOUT_MS,
        });
        await harness.start();
    });

    afterEach(() => harness.stop());

    for (const { name, text, statusCode, kind } of ROWS) {
        describe(name, () => {
            it("is answered behind the response to the request that runs", async () => {
                harness.nonIdempotentIds.add("order");
                harness.send("order", { method: "POST", body: "one crew" });
                await harness.waitForRequests(1);
                harness.socket.write(text);
                await harness.waitUntil(() => harness.refusedKinds.length > 0);
                await harness.settle();
                expect(harness.received).to.equal("");
                expect(harness.isClosed).to.equal(false);
                expect(harness.abandonedKeys).to.deep.equal([]);
                harness.relay("order");
                await harness.waitUntil(() => harness.isClosed);
                expect(harness.statusCodes).to.deep.equal([200, statusCode]);
                expect(harness.received).to.match(/<order>HTTP[^]*connection: close/i);
                expect(harness.refusedKinds).to.deep.equal([`caller-input-${kind}`]);
                expect(harness.requestIds).to.deep.equal(["order"]);
            });

            it("is answered at once on a connection without a request", async () => {
                harness.socket.write(text);
                await harness.waitUntil(() => harness.isClosed);
                expect(harness.statusCodes).to.deep.equal([statusCode]);
                expect(harness.requestIds).to.deep.equal([]);
                expect(harness.listener.unfinishedCount).to.equal(0);
            });
        });
    }

    it("rejects an unknown expectation behind the response to the request that runs", async () => {
        harness.send("r1");
        harness.send("r2", { headers: ["Expect: something"] });
        await harness.waitForRequests(1);
        await harness.settle();
        expect(harness.received).to.equal("");
        harness.relay("r1");
        await harness.waitUntil(() => harness.isClosed);
        expect(harness.statusCodes).to.deep.equal([200, 417]);
    });

    it("ignores a request to switch protocols, and passes the request on", async () => {
        harness.send("r1", { headers: ["Connection: Upgrade", "Upgrade: websocket"] });
        await harness.waitForRequests(1);
    });

    // The error closed the connection with unread bytes, which resets it, and the caller lost the rest of its response.
    it("ignores what comes behind a request that closes the connection", async () => {
        harness.send("r1", { headers: ["Connection: close"] });
        harness.send("r2");
        harness.socket.write("this is no request\r\n\r\n");
        await harness.waitForRequests(1);
        await harness.settle();
        harness.relay("r1");
        await harness.waitUntil(() => harness.isClosed);
        expect(harness.statusCodes).to.deep.equal([200]);
        expect(harness.refusedKinds).to.deep.equal([]);
    });

    it("notices that a caller has left after its input failed", async () => {
        harness.send("r1");
        await harness.waitForRequests(1);
        harness.socket.write("this is no request\r\n\r\n");
        await harness.waitUntil(() => harness.refusedKinds.length === 1);
        harness.socket.destroy();
        await harness.waitUntil(() => harness.abandonedKeys.length === 1);
    });

    // A half-closed connection cannot be told from one that the caller has closed, whose requests are cancelled.
    it("takes a caller that ends its side as one that has left", async () => {
        harness.send("r1");
        await harness.waitForRequests(1);
        harness.socket.end();
        await harness.waitUntil(() => harness.abandonedKeys.length === 1);
    });
});
