import { expect } from "chai";
import { ListenerHarness } from "./support/listener-harness.js";
import { measureHeapGrowth } from "./support/measure-heap-growth.js";
import { SlowSender } from "./support/slow-sender.js";

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
        name: "a head that never ends",
        text: "GET /a/ HTTP/1.1\r\nHost: x\r\n",
        statusCode: 408,
        kind: "head-timeout",
    },
    {
        name: "a body that never ends",
        text: toText("POST /a/ HTTP/1.1", "Host: x", "Content-Length: 10") + "half",
        statusCode: 408,
        kind: "body-timeout",
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

    describe("with many callers that send a byte at a time", () => {
        const CALLERS = 500;
        const BYTE_INTERVAL_MS = 50;
        const MAX_HEAP_GROWTH_BYTES = 32 * 1_024 * 1_024;
        const MAX_WAIT_MS = 1_000;

        // Their heads were given 15 s more than configured, and looked at every 30 s.
        it("serves the others meanwhile, and closes the slow connections", async () => {
            const { result, growthBytes } = await measureHeapGrowth(async () => {
                const senders = [...Array(CALLERS).keys()].map(() => new SlowSender(BYTE_INTERVAL_MS));
                await Promise.all(senders.map(sender => sender.start()));
                const waitsMs: number[] = [];
                for (let count = 1; senders.some(({ isClosed }) => !isClosed); count += 1) {
                    const sentAtMs = performance.now();
                    harness.send(`r${count}`);
                    await harness.waitForRequests(count);
                    harness.relay(`r${count}`);
                    await harness.waitUntil(() => harness.received.endsWith(`<r${count}>`));
                    waitsMs.push(performance.now() - sentAtMs);
                }
                return {
                    waitsMs,
                    statusLines: senders.map(({ received }) => received.slice(0, "HTTP/1.1 408".length)),
                };
            });
            expect(new Set(result.statusLines)).to.deep.equal(new Set(["HTTP/1.1 408"]));
            expect(Math.max(...result.waitsMs)).to.be.lessThan(MAX_WAIT_MS);
            expect(growthBytes).to.be.lessThan(MAX_HEAP_GROWTH_BYTES);
        });
    });

    describe("time limits", () => {
        it("keep a connection open that has not carried a request yet, up to the idle timeout", async () => {
            const startedAtMs = performance.now();
            await harness.waitUntil(() => harness.isClosed);
            expect(performance.now() - startedAtMs).to.be.greaterThan(IDLE_TIMEOUT_MS - 100);
            expect(harness.received).to.equal("");
        });

        // The end of the first request switched the limit off for the body of the second.
        it("hold for a body that began in one piece with the request before it", async () => {
            const partial = toText("POST /a/ HTTP/1.1", "Host: x", "Content-Length: 10") + "half";
            harness.socket.write(toText("GET /a/ HTTP/1.1", "Host: x", "X-Request-Id: r1") + partial);
            await harness.waitForRequests(1);
            await harness.waitUntil(() => harness.refusedKinds.length > 0);
            harness.relay("r1");
            await harness.waitUntil(() => harness.isClosed);
            expect(harness.statusCodes).to.deep.equal([200, 408]);
        });

        it("do not end a request that runs for longer", async () => {
            harness.send("r1");
            await harness.waitForRequests(1);
            await new Promise(resolve => {
                setTimeout(resolve, 2 * IDLE_TIMEOUT_MS);
            });
            harness.relay("r1");
            await harness.waitUntil(() => harness.received.endsWith("<r1>"));
        });

        it("count the head from its first byte", async () => {
            harness.send("r1");
            await harness.waitForRequests(1);
            harness.relay("r1");
            await harness.waitUntil(() => harness.received.endsWith("<r1>"));
            await new Promise(resolve => {
                setTimeout(resolve, IDLE_TIMEOUT_MS / 2);
            });
            harness.send("r2");
            await harness.waitForRequests(2);
        });
    });
});
