import { expect } from "chai";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { CallerListener } from "../src/caller-listener.js";
import type { OpenRequest } from "../src/open-request.js";
import { measureHeapGrowth } from "./support/measure-heap-growth.js";

const PORT = 18_743;
const POLL_INTERVAL_MS = 5;
// Half of the heap that the deploy file allows.
const MAX_HEAP_GROWTH_BYTES = 80 * 1_024 * 1_024;

const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => {
            setTimeout(resolve, POLL_INTERVAL_MS);
        });
    }
};

describe("CallerListener, requests that it cannot take", () => {
    let listener: CallerListener;
    let socket: Socket;
    let received: string;
    let isClosed: boolean;
    let openRequests: OpenRequest[];

    beforeEach(async () => {
        received = "";
        isClosed = false;
        openRequests = [];
        listener = new CallerListener({
            nowMs: () => performance.now(),
            isStopping: () => false,
            isIdempotent: () => true,
            onInputRefused: () => undefined,
            onRequest: request => {
                openRequests.push(request);
            },
            onCallerLeft: () => undefined,
            onFault: () => undefined,
        });
        await listener.listen(`127.0.0.1:${PORT}`);
        socket = connect({ host: "127.0.0.1", port: PORT });
        socket.on("data", chunk => {
            received += chunk.toString();
        });
        // A failed write is seen in what was received.
        socket.on("error", () => undefined);
        socket.on("close", () => {
            isClosed = true;
        });
        await once(socket, "connect");
    });

    afterEach(async () => {
        socket.destroy();
        await listener.stopListening();
        listener.closeIfIdle();
    });

    // A caller's body of 500,000 chunks of one byte, far within the limit on its bytes, took over 100 MB of heap.
    it("takes a body in tiny chunks without filling the heap", async () => {
        const pieces = "1\r\na\r\n".repeat(10_000);
        const { growthBytes } = await measureHeapGrowth(async () => {
            socket.write(
                "POST /a/ HTTP/1.1\r\nHost: parks.example\r\nX-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
            );
            for (let round = 0; round < 50; round += 1) {
                if (!socket.write(pieces)) {
                    await once(socket, "drain");
                }
            }
            socket.write("0\r\n\r\n");
            await waitUntil(() => openRequests.length === 1);
        });
        expect(openRequests[0]?.body?.length).to.equal(500_000);
        expect(growthBytes).to.be.below(MAX_HEAP_GROWTH_BYTES);
    }).timeout(60_000);

    // Many callers with large bodies at once took more memory than the VM has.
    it("rejects the largest incomplete body as not run when all bodies together exceed their limit", async () => {
        listener.applyLimits({ headerBytes: 8_192, bodyBytes: 1e8, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 });
        socket.write(
            "POST /a/ HTTP/1.1\r\nHost: parks.example\r\nX-Request-Id: r1\r\nContent-Length: 90000000\r\n\r\n",
        );
        const piece = Buffer.alloc(1_000_000);
        while (received === "" && !isClosed) {
            if (!socket.write(piece)) {
                await Promise.race([once(socket, "drain"), once(socket, "data")]);
            }
        }
        expect(received).to.match(/^HTTP\/1.1 503 /);
        expect(received).to.contain("Retry-After: 0.500").and.to.contain("X-Request-Id: r1");
        expect(openRequests).to.deep.equal([]);
    });

    // Each attempt to send such a request failed, so that it waited and took connections to several servers.
    for (
        const [what, text] of [
            ["a header name followed by whitespace", "GET /a/ HTTP/1.1\r\nHost: parks.example\r\nX-A : 1\r\n\r\n"],
            ["a header without a name", "GET /a/ HTTP/1.1\r\nHost: parks.example\r\n: 1\r\n\r\n"],
            ["a tab in its path", "GET /a\tb/ HTTP/1.1\r\nHost: parks.example\r\n\r\n"],
        ] as const
    ) {
        it(`rejects a request with ${what} at once`, async () => {
            socket.write(text);
            await waitUntil(() => isClosed);
            expect(received).to.match(/^HTTP\/1.1 400 /);
            expect(openRequests).to.deep.equal([]);
        });
    }
});
