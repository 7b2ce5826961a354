import { expect } from "chai";
import { connect } from "node:net";
import { sendRequest } from "./support/send-request.js";
import { TestBackend } from "./support/test-backend.js";
import { TestSite } from "./support/test-site.js";
import { waitUntil } from "./support/wait-until.js";

/** Sends raw text and collects the received text until the daemon closes the connection. */
const sendRaw = (address: string, text: string): Promise<string> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host as string, () => socket.write(text));
        let received = "";
        socket.setEncoding("utf8");
        socket.on("data", chunk => {
            received += String(chunk);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            resolve(received);
        });
    });

const PREFIX = "ERR_MARIGOLDSTALL_";

describe("daemon.runtime caller listener", () => {
    let site: TestSite;
    let caller = "";

    const start = async (opts: Parameters<typeof TestSite.start>[0] = {}): Promise<void> => {
        site = await TestSite.start(opts);
        caller = (await site.startReadyDaemon()).addresses.caller;
    };

    afterEach(() => site.stop());

    const invalidRequests: readonly (readonly [string, string, Record<string, string>, number, string])[] = [
        ["an unknown service", "/nowhere/x", {}, 404, "UNKNOWN_SERVICE"],
        ["no service", "/", {}, 404, "UNKNOWN_SERVICE"],
        ["a path that matches no class", "/statusdesk/x", {}, 404, "UNKNOWN_CLASS"],
        ["an unknown class", "/statusdesk/status", { "Marigoldstall-Class": "vip" }, 404, "UNKNOWN_CLASS"],
        ["a malformed key", "/statusdesk/status", { "Idempotency-Key": "7" }, 400, "INVALID_IDEMPOTENCY_KEY"],
        ["a malformed timeout", "/statusdesk/status", { "Request-Timeout-Ms": "-1" }, 400, "INVALID_TIMEOUT"],
        ["a malformed attempt", "/statusdesk/status", { "Marigoldstall-Attempt": "x" }, 400, "INVALID_ATTEMPT"],
        ["a path of the cancellation protocol", "/statusdesk/_requests/1", {}, 404, "RESERVED_PATH"],
        ["an escaped reserved path", "/statusdesk/%5frequests/1", {}, 404, "RESERVED_PATH"],
        ["a reserved path behind dot segments", "/statusdesk/status/../_load", {}, 404, "RESERVED_PATH"],
    ];
    it("rejects invalid requests as not run, with the reason", async () => {
        await start();
        for (const [name, path, headers, statusCode, reason] of invalidRequests) {
            const answer = await sendRequest(caller, { path, headers });
            expect(answer.statusCode, name).to.equal(statusCode);
            expect(answer.headers["marigoldstall-outcome"], name).to.equal("not-run");
            expect(answer.headers["marigoldstall-reason"], name).to.equal(PREFIX + reason);
            expect(answer.headers["request-id"], name).to.be.a("string");
        }
        expect(site.backends[0]?.receivedPaths).to.deep.equal([]);
    });

    const line = "POST /statusdesk/status HTTP/1.1\r\nHost: x\r\n";
    const malformedRequests: readonly (readonly [string, string, number])[] = [
        ["two different lengths", `${line}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc`, 400],
        ["a length and chunks", `${line}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, 400],
        ["a broken chunk", `${line}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, 400],
        ["oversized headers", `${line}X: ${"y".repeat(20_000)}\r\n\r\n`, 431],
        ["no host", "GET /statusdesk/status HTTP/1.1\r\nConnection: close\r\n\r\n", 400],
        ["HTTP/1.0", "GET /statusdesk/status HTTP/1.0\r\nHost: x\r\n\r\n", 505],
        ["an unknown expectation", `${line}Expect: tea\r\nConnection: close\r\n\r\n`, 417],
        ["a tunnel", "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 400],
        ["text that is not HTTP", "hello\r\n\r\n", 400],
    ];
    it("rejects malformed HTTP with an outcome and keeps serving other requests", async () => {
        await start();
        for (const [name, text, statusCode] of malformedRequests) {
            const received = await sendRaw(caller, text);
            expect(received, name).to.match(new RegExp(`^HTTP/1.1 ${statusCode} `));
            expect(received, name).to.contain("Marigoldstall-Outcome: not-run");
        }
        expect(site.backends[0]?.receivedPaths).to.deep.equal([]);
        expect((await sendRequest(caller, { path: "/statusdesk/status" })).statusCode).to.equal(200);
    });

    it("answers a request that malformed bytes follow on the same connection", async () => {
        await start({
            backends: [
                new TestBackend((request, response, backend) => {
                    setTimeout(() => {
                        backend.answer(request, response);
                    }, 50);
                }),
            ],
        });
        const received = await sendRaw(caller, "GET /statusdesk/status HTTP/1.1\r\nHost: x\r\n\r\nbroken\r\n\r\n");
        expect(received).to.contain("GET /status 0");
    });

    it("does not forward hop-by-hop headers and headers that the daemon manages", async () => {
        let seen: Record<string, unknown> = {};
        await start({
            backends: [
                new TestBackend((request, response, backend) => {
                    seen = request.headers;
                    backend.answer(request, response, { "Keep-Alive": "timeout=99", "X-Kept": "yes" });
                }),
            ],
        });
        const answer = await sendRequest(caller, {
            path: "/statusdesk/status",
            headers: {
                "Connection": "close, X-Hop, Host",
                "X-Hop": "1",
                "X-Kept": "yes",
                "Request-Id": "forged",
                "Host": "status.example",
            },
        });
        // Without a Host header the backend server would reject the request, which would count as its failure.
        expect(seen["host"]).to.equal("status.example");
        expect(seen).to.include({ "x-kept": "yes", "marigoldstall-attempt": "1" });
        expect(seen).not.to.have.any.keys("x-hop");
        expect(seen["request-id"]).to.equal(answer.headers["request-id"]);
        expect(answer.headers["x-kept"]).to.equal("yes");
        expect(answer.headers).not.to.have.any.keys("instance-id", "load-report");
        expect(answer.headers["keep-alive"] ?? "").not.to.contain("99");
    });

    it("answers 408 when a caller sends the body too slowly, and does not run the request", async () => {
        await start({ limits: { bodyTimeoutMs: 200 } });
        const received = await sendRaw(caller, `${line}Content-Length: 10\r\n\r\nabc`);
        expect(received).to.match(/^HTTP\/1.1 408 /);
        expect(received).to.contain("Marigoldstall-Outcome: not-run");
        expect(site.backends[0]?.receivedPaths).to.deep.equal([]);
    });

    it("limits the connections per caller address and the requests in flight", async () => {
        await start({
            backends: [
                new TestBackend(request => {
                    request.resume();
                }),
            ],
            limits: { connectionsPerCallerAddress: 3, requestsInFlight: 2 },
        });
        const abort = new AbortController();
        const held = [1, 2].map(() => sendRequest(caller, { path: "/statusdesk/status", signal: abort.signal }));
        await waitUntil(() => site.backends[0]?.receivedPaths.length === 2, {
            description: "two requests are in flight",
        });
        const third = await sendRequest(caller, { path: "/statusdesk/status" });
        expect(third.headers["marigoldstall-reason"]).to.equal(`${PREFIX}TOO_MANY_REQUESTS_IN_FLIGHT`);
        expect(third.headers["retry-after"]).to.equal("1");
        const idle = sendRaw(caller, "GET /statusdesk/status HTTP/1.1\r\nHost: x\r\n");
        const fourth = await sendRaw(caller, "GET /statusdesk/status HTTP/1.1\r\nHost: x\r\n\r\n");
        expect(fourth).to.contain("TOO_MANY_CONNECTIONS");
        abort.abort();
        await Promise.all(held);
        void idle;
    });
});
